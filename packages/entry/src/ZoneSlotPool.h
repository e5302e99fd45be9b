#pragma once

#include "Directory.h"
#include "VmContext.h"
#include "jaylane/policy/ShareTable.h"
#include "jaylane/policy/SlotPool.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace jaylane::entry {

/// Thread-safe SlotPool with the slots of this zone's upstreams that this VM may use.
class ZoneSlotPool
{
public:
  ZoneSlotPool(const VmContext& aContext, policy::SlotPool::Options aOptions);

  /// @param aUpstreams upstreams of this zone; those missing get no further attempts.
  void SetUpstreams(const std::vector<UpstreamRef>& aUpstreams);

  /// @param aTimeout longest duration of the attempt.
  /// @return a slot for one attempt, or nothing if none is free for that long.
  std::optional<policy::SlotTicket> Acquire(const std::string& aUpstream,
                                            std::chrono::nanoseconds aTimeout);

  /// @return whether an attempt may still be sent; checked right before dispatch.
  bool MayDispatch(const policy::SlotTicket& aTicket, std::chrono::nanoseconds aTimeout) const;

  void Release(const policy::SlotTicket& aTicket);

  /// @return whether Acquire() would succeed.
  bool HasFree(const std::string& aUpstream, std::chrono::nanoseconds aTimeout) const;

  /// @return slots of the upstream that this VM owns.
  std::uint32_t Owned(const std::string& aUpstream) const;

  /// @return incarnations of the VMs that own slots of the upstream.
  std::set<std::string> OwnersOf(const std::string& aUpstream) const;

  /// @return whether this VM owns a share unit that it may use.
  bool HasUsableUnits() const;

  /// Calls a function with the pool while holding its lock.
  /// @return the function's result.
  template<typename Function>
  auto WithLock(Function aFunction)
  {
    std::lock_guard lock(m_mutex);
    return aFunction(m_pool);
  }

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  policy::SlotPool m_pool;
  std::set<std::string> m_listedUpstreams;
};

} // namespace jaylane::entry
