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
  /// Unavailable, without effect.
  Refused,
  /// Timeout, without effect.
  LostRequest,
  /// Timeout, after a write took effect.
  LostResponse,
  /// Timeout; a write takes effect a few calls later, if its version is still expected.
  Late,
};

/// Store in memory with fault switches, for unit tests and as the state of the platform
/// stand-in. Thread safe. Versions are revisions of the whole store.
class FakeStore final : public Store
{
public:
  /// Calls between a late write and its effect.
  static constexpr unsigned kLateCalls = 3;
  /// Changes in one watch response; more are left for the next watch.
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

  void SetVms(VmList aVms);

  /// @param aOutage whether all calls fail as Unavailable; ends pending watches.
  void SetOutage(bool aOutage);

  /// @param aCount number of next writes that take effect and return Timeout.
  void LoseResponses(std::uint32_t aCount);

  /// @param aHook called without locks before each call; may block to delay it.
  void SetDelayHook(std::function<void(StoreCall)> aHook);

  /// @param aHook decides the fault of each call, after outage and lost responses.
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
    unsigned m_calls = 0;
  };

  StoreFault Enter(StoreCall aCall);
  base::Result<Version> Write(const std::string& aKey,
                              Version aExpected,
                              StoreFault aFault,
                              Record aRecord);
  base::Result<Version> ApplyLocked(const std::string& aKey, Version aExpected, Record aRecord);
  void ApplyLateLocked();
  ChangeBatch ChangesLocked(const std::string& aPrefix, Version aAfter) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Record> m_records;
  std::vector<LateWrite> m_late;
  Version m_revision = 0;
  VmList m_vms;
  bool m_outage = false;
  std::uint32_t m_losses = 0;
  std::function<void(StoreCall)> m_delay;
  std::function<StoreFault(StoreCall)> m_fault;
  std::array<std::uint64_t, kStoreCallKinds> m_calls{};
};

} // namespace jaylane::platform
