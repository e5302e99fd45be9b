#pragma once

#include "HttpFetch.h"
#include "StoreEra.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/gateway/StoreDialect.h"
#include "jaylane/policy/QuarantineJournal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Keeps quarantine records in the platform's store, so that they outlive the end of all VMs.
///
/// Each record is an object that is created once: its name is the fingerprint and the verdict, and
/// its value has neither path nor body nor caller. Records are read at the start, and now and then
/// while there is a quarantine. An operator lifts a quarantine by an object named after the
/// fingerprint with the suffix "-lift". Expired records are removed. The store may be away, or know
/// no removals; writes are repeated for as long as the record counts, and nothing waits for them.
/// When the store has returned from an older copy, which may lack records, each VM writes its own
/// again.
class QuarantineStore
{
public:
  struct Contents
  {
    std::vector<policy::QuarantineRecord> m_records;
    /// Fingerprints whose quarantine an operator has lifted since the last read.
    std::vector<policy::RequestFingerprint> m_lifted;
  };
  using OnRead = std::function<void(Contents)>;

  QuarantineStore(boost::asio::io_context& aIo,
                  const std::string& aStoreAddress,
                  const StoreDialect& aDialect,
                  const base::Clock& aClock,
                  base::AsyncLog& aLog,
                  StoreEra& aEra,
                  OnRead aOnRead);
  ~QuarantineStore();
  QuarantineStore(const QuarantineStore&) = delete;
  QuarantineStore& operator=(const QuarantineStore&) = delete;

  /// Makes the first read.
  void Start() { Read({}); }

  /// @param aHasQuarantines whether this VM rejects any request because of a quarantine.
  void SetActive(bool aHasQuarantines) { m_isActive = aHasQuarantines; }

  void Write(const std::vector<policy::QuarantineRecord>& aRecords);

  /// The store has returned from an older copy.
  void OnStoreRestored();

private:
  /// A call that changes the store.
  struct Change
  {
    enum class Kind
    {
      Create,
      Remove,
      /// Creates a record in place of an older one.
      Replace,
    };
    Kind m_kind = Kind::Create;
    std::string m_name;
    policy::QuarantineRecord m_record;
    /// Revision of the object to remove.
    policy::StoreRevision m_revision{};
  };
  /// A record that this VM has written.
  struct Written
  {
    std::string m_name;
    policy::QuarantineRecord m_record;
    policy::StoreRevision m_revision{};
  };

  /// @param aAfter name that the page begins after; empty for the first page.
  void Read(const std::string& aAfter);
  void OnPage(const FetchResponse& aResponse, const std::string& aAfter);
  void Adopt(const std::vector<StoredObject>& aObjects);
  void ScheduleRead(std::chrono::milliseconds aDelay);
  void Enqueue(Change aChange);
  void SendNext();
  void OnChangeEnded(const FetchResponse& aResponse);
  void RemoveExpired();
  /// @return whether the object is a lift that was not applied yet.
  bool TakeLift(const StoredObject& aObject);

  const StoreDialect& m_dialect;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  StoreEra& m_era;
  OnRead m_onRead;
  policy::QuarantineJournal m_journal{ {} };
  std::shared_ptr<HttpFetch> m_readFetch;
  std::shared_ptr<HttpFetch> m_changeFetch;
  boost::asio::steady_timer m_readTimer;
  boost::asio::steady_timer m_changeTimer;
  std::chrono::milliseconds m_readBackoff{ 0 };
  std::vector<StoredObject> m_page;
  std::uint32_t m_reads = 0;
  bool m_isActive = false;
  std::deque<Change> m_changes;
  bool m_isChanging = false;
  std::chrono::milliseconds m_backoff{ 0 };
  std::vector<Written> m_written;
  /// Names and revisions of the lifts that were applied.
  std::map<std::string, policy::StoreRevision> m_lifts;
};

} // namespace jaylane::gateway
