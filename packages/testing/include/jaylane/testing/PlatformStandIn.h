#pragma once

#include "jaylane/platform/FakeStore.h"
#include "jaylane/testing/HttpServer.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jaylane::testing {

/// The platform's HTTP API over a FakeStore, with fault switches at POST /control.
///
/// Below "/as/<view>" it is the same, but for the VM list: a view may have a list of its own,
/// whose addresses lead over link relays. POST /control/vms?view=<view> sets it.
class PlatformStandIn
{
public:
  /// @param aOptions address to listen on.
  static base::Result<std::unique_ptr<PlatformStandIn>> Make(const HttpServerOptions& aOptions);
  ~PlatformStandIn();

  /// @return "<address>:<port>".
  const std::string& Address() const { return m_server->Address(); }

  /// @return the state behind the API, with its own fault switches.
  platform::FakeStore& Objects() { return m_store; }

  /// @param aVms list to show once the lag has passed.
  /// @param aView view that it is for; empty for those without a list of their own.
  void SetVms(platform::VmList aVms, const std::string& aView = {});

  /// @param aLag how far the VM list shown is behind.
  void SetVmListLag(std::chrono::milliseconds aLag) { m_lagMillis = aLag.count(); }

  /// @param aDelay added to each call of the platform's API.
  void SetDelay(std::chrono::milliseconds aDelay) { m_slowMillis = aDelay.count(); }

private:
  struct TimedVms
  {
    std::chrono::steady_clock::time_point m_time;
    platform::VmList m_vms;
  };

  struct VmView
  {
    platform::VmList m_shown;
    std::deque<TimedVms> m_pending;
  };

  PlatformStandIn() = default;
  HttpResponse Handle(HttpRequest& aRequest);
  HttpResponse HandleControl(const HttpRequest& aRequest);
  HttpResponse HandleObject(const HttpRequest& aRequest, const std::string& aKey);
  HttpResponse HandleList(const HttpRequest& aRequest);
  HttpResponse HandleWatch(const HttpRequest& aRequest);
  HttpResponse HandleVms(const std::string& aView);
  HttpResponse Stats() const;

  platform::FakeStore m_store;
  std::atomic<std::int64_t> m_slowMillis{ 0 };
  std::atomic<std::int64_t> m_lagMillis{ 0 };
  std::mutex m_mutex;
  std::map<std::string, VmView> m_views;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace jaylane::testing
