#pragma once

#include "StoreSync.h"
#include "TestStore.h"

#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace jaylane::gateway {

/// The StoreSync of one VM, which records what its configuration hooks receive.
class RecordingSync
{
public:
  /// @param aChangeTime drain time and time for a change of the configuration; 0 for the defaults.
  RecordingSync(const std::string& aStore,
                const std::string& aPeerAddress,
                std::chrono::milliseconds aChangeTime = std::chrono::milliseconds{ 0 })
  {
    if (aChangeTime.count() > 0) {
      m_settings.m_drainTime = aChangeTime;
      m_settings.m_configurationTime = aChangeTime;
    }
    m_settings.m_name = aPeerAddress;
    m_settings.m_storeAddress = aStore;
    m_settings.m_peerAddress = aPeerAddress;
    StoreSync::Hooks hooks;
    for (auto* kind : { &hooks.m_configuration, &hooks.m_upstreams, &hooks.m_evacuations }) {
      kind->m_onList = [](const std::vector<StoredObject>&) {};
      kind->m_onChanges = [](const std::vector<StoredObject>&) {};
      kind->m_onCallCompleted = [](StoreCallResult) {};
      kind->m_onRevision = [](policy::StoreRevision) {};
    }
    hooks.m_onMembers = [](const std::vector<StoredObject>&) {};
    hooks.m_onStoreReachable = [this](bool aIsReachable) {
      const std::lock_guard lock(m_mutex);
      m_outages += aIsReachable ? 0 : 1;
    };
    hooks.m_onSilence = [this] {
      const std::lock_guard lock(m_mutex);
      ++m_silences;
    };
    hooks.m_onRestored = [this](std::uint64_t) {
      const std::lock_guard lock(m_mutex);
      ++m_restores;
    };
    hooks.m_onFollowing = [this](bool aIsFollowing) {
      const std::lock_guard lock(m_mutex);
      m_isFollowing = aIsFollowing;
      m_changed.notify_all();
    };
    hooks.m_configuration.m_onList = [this](const std::vector<StoredObject>& aObjects) {
      const std::lock_guard lock(m_mutex);
      m_configurations = aObjects;
      m_changed.notify_all();
    };
    hooks.m_configuration.m_onChanges = [this](const std::vector<StoredObject>& aObjects) {
      const std::lock_guard lock(m_mutex);
      m_changes += aObjects.size();
      if (!aObjects.empty()) {
        m_configurations = aObjects;
      }
      m_changed.notify_all();
    };
    m_sync = std::make_unique<StoreSync>(m_io,
                                         m_settings,
                                         m_dialect,
                                         base::SystemClock::Get(),
                                         m_log,
                                         Json::Value(Json::objectValue),
                                         std::move(hooks));
    EXPECT_TRUE(m_sync->ListenForPeers());
    m_sync->Start();
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~RecordingSync()
  {
    m_io.stop();
    m_thread.join();
  }

  StoreSync& Sync() { return *m_sync; }

  bool WaitForConfiguration(std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [this] { return !m_configurations.empty(); });
  }

  /// Waits until the only configuration object has the revision.
  bool WaitForRevision(policy::StoreRevision aRevision, std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [this, aRevision] {
      return m_configurations.size() == 1 && m_configurations[0].m_revision == aRevision;
    });
  }

  bool WaitUntilFollowing(std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [this] { return m_isFollowing; });
  }

  void SetLead(bool aIsLead)
  {
    boost::asio::post(m_io, [this, aIsLead] { m_sync->SetLead(aIsLead); });
  }

  std::chrono::milliseconds UpstreamsBehindFor()
  {
    std::promise<std::chrono::milliseconds> result;
    boost::asio::post(m_io, [&] { result.set_value(m_sync->UpstreamsBehindFor()); });
    return result.get_future().get();
  }

  int Silences()
  {
    const std::lock_guard lock(m_mutex);
    return m_silences;
  }

  /// @return number of returns of the store from an older copy that were reported.
  int Restores()
  {
    const std::lock_guard lock(m_mutex);
    return m_restores;
  }

  int Outages()
  {
    const std::lock_guard lock(m_mutex);
    return m_outages;
  }

  std::size_t Changes()
  {
    const std::lock_guard lock(m_mutex);
    return m_changes;
  }

  /// Waits until a log record contains the text.
  bool WaitForLog(const std::string& aText, std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(
      lock, aLimit, [&] { return m_logText.find(aText) != std::string::npos; });
  }

  std::vector<StoredObject> Configurations()
  {
    const std::lock_guard lock(m_mutex);
    return m_configurations;
  }

private:
  GatewaySettings m_settings;
  TestDialect m_dialect;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_logText;
  base::AsyncLog m_log{ "vm", base::SystemClock::Get(), { 64, 1000, [this](std::string_view aText) {
                                                           const std::lock_guard lock(m_mutex);
                                                           m_logText += aText;
                                                           m_changed.notify_all();
                                                         } } };
  std::vector<StoredObject> m_configurations;
  std::size_t m_changes = 0;
  int m_outages = 0;
  int m_restores = 0;
  int m_silences = 0;
  bool m_isFollowing = false;
  boost::asio::io_context m_io{ 1 };
  std::unique_ptr<StoreSync> m_sync;
  std::thread m_thread;
};

} // namespace jaylane::gateway
