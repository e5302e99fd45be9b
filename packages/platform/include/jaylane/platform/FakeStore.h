#pragma once

#include "jaylane/platform/Store.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace jaylane::platform {

enum class StoreCall
{
  Get,
  Put,
  Delete,
  List,
  Watch,
  ListVms,
};

inline constexpr std::size_t kStoreCallKinds = 6;

/// What happens to one call of a FakeStore.
enum class StoreFault
{
  None,
  /// Returns Unavailable, without effect.
  Refused,
  /// Returns Timeout, without effect.
  LostRequest,
  /// Returns Timeout, although a write took effect.
  LostResponse,
  /// Returns Timeout. A write takes effect kLateCalls calls later, if the object then still has
  /// the expected version.
  Late,
};

/// In-memory store with fault injection, for unit tests and for the simulated platform
/// (PlatformStandIn). The version of an object is the revision of the whole store at its last
/// write. Thread safe.
class FakeStore final : public Store
{
public:
  /// Number of store calls between a late write and its effect.
  static constexpr unsigned kLateCalls = 3;
  /// Limit on the changes in one watch response; the next watch returns further ones.
  static constexpr std::size_t kMaxChanges = 1000;

  base::Result<StoreObject> Get(const std::string& aKey,
                                std::chrono::milliseconds aTimeout) override;
  base::Result<Version> Put(const std::string& aKey,
                            const std::string& aValue,
                            Version aExpected,
                            std::chrono::milliseconds aTimeout) override;
  base::Status Delete(const std::string& aKey,
                      Version aExpected,
                      std::chrono::milliseconds aTimeout) override;
  base::Result<ObjectListing> List(const std::string& aPrefix,
                                   std::chrono::milliseconds aTimeout) override;
  base::Result<ChangeBatch> Watch(const std::string& aPrefix,
                                  Version aAfter,
                                  std::chrono::milliseconds aWait,
                                  std::chrono::milliseconds aTimeout) override;
  base::Result<VmList> ListVms(std::chrono::milliseconds aTimeout) override;

  /// @param aVms list that ListVms() returns.
  void SetVms(VmList aVms);

  /// @param aOutage whether all calls fail with Unavailable, including pending watches.
  void SetOutage(bool aOutage);

  /// @param aCount number of writes from now on that take effect but return Timeout.
  void LoseResponses(std::uint32_t aCount);

  /// @param aHook called before each call, without locks held; may block to delay the call.
  void SetDelayHook(std::function<void(StoreCall)> aHook);

  /// @param aHook chooses the fault of each call that is not already failed by SetOutage() or
  ///   LoseResponses().
  void SetFaultHook(std::function<StoreFault(StoreCall)> aHook);

  /// @return number of calls of a kind so far.
  std::uint64_t Calls(StoreCall aCall) const;

private:
  struct Record
  {
    Version m_version = 0;
    std::string m_value;
    bool m_deleted = false;
  };

  struct LateWrite
  {
    std::string m_key;
    Version m_expected = 0;
    Record m_record;
    unsigned m_callsLeft = 0;
  };

  /// Counts and delays the call and applies due late writes.
  /// @return the fault to inject.
  StoreFault BeginCall(StoreCall aCall);
  base::Result<Version> Write(const std::string& aKey,
                              Version aExpected,
                              StoreFault aFault,
                              Record aRecord);
  base::Result<Version> ApplyLocked(const std::string& aKey, Version aExpected, Record aRecord);
  void ApplyLateWritesLocked();
  ChangeBatch ChangesLocked(const std::string& aPrefix, Version aAfter) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Record> m_records;
  std::vector<LateWrite> m_lateWrites;
  Version m_revision = 0;
  VmList m_vms;
  bool m_outage = false;
  std::uint32_t m_responsesToLose = 0;
  std::function<void(StoreCall)> m_delayHook;
  std::function<StoreFault(StoreCall)> m_faultHook;
  std::array<std::uint64_t, kStoreCallKinds> m_calls{};
};

} // namespace jaylane::platform
