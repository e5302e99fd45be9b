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

/// HTTP server with the platform's API over a FakeStore. POST /control injects faults.
///
/// The same API is available below "/as/<view>", where a view may have its own VM list, with
/// addresses of link relays. POST /control/vms?view=<view> sets the list of a view.
class PlatformStandIn
{
public:
  /// @param aOptions address to listen on.
  static base::Result<std::unique_ptr<PlatformStandIn>> Make(const HttpServerOptions& aOptions);
  ~PlatformStandIn();

  /// @return "<address>:<port>".
  const std::string& Address() const { return m_server->Address(); }

  /// @return the store behind the API, which has its own fault injection.
  platform::FakeStore& Store() { return m_store; }

  /// @param aVms list to return once the lag has passed.
  /// @param aView view of the list; empty for the default list, which views without their own use.
  void SetVms(platform::VmList aVms, const std::string& aView = {});

  /// @param aLag how long a new VM list stays invisible.
  void SetVmListLag(std::chrono::milliseconds aLag) { m_vmListLagMillis = aLag.count(); }

  /// @param aDelay added to the duration of each API call.
  void SetDelay(std::chrono::milliseconds aDelay) { m_delayMillis = aDelay.count(); }

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
  std::atomic<std::int64_t> m_delayMillis{ 0 };
  std::atomic<std::int64_t> m_vmListLagMillis{ 0 };
  std::mutex m_mutex;
  std::map<std::string, VmView> m_vmViews;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace jaylane::testing
