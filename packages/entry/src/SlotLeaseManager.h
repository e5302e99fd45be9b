#pragma once

#include "Directory.h"
#include "VmContext.h"
#include "ZoneSlotPool.h"
#include "jaylane/base/BoundedRing.h"
#include "jaylane/peer/Messages.h"
#include "jaylane/peer/PeerClient.h"
#include "jaylane/policy/SlotBorrower.h"
#include "jaylane/policy/SlotLender.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::entry {

/// Lends free slots to other VMs of the zone and borrows slots from them when requests wait, for a
/// limited time each. Thread safe; calls to peers are made on a thread of its own.
class SlotLeaseManager
{
public:
  SlotLeaseManager(const VmContext& aContext, ZoneSlotPool& aSlotPool, const Directory& aDirectory);
  ~SlotLeaseManager();

  /// @param aHook called after slots were borrowed.
  void SetGrantHook(std::function<void()> aHook) { m_onGrant = std::move(aHook); }

  /// @param aDuration duration of the leases requested from now on.
  void SetLeaseDuration(std::chrono::milliseconds aDuration);

  /// @param aTimeout longest duration of a request.
  /// @return whether leases last long enough for such requests. A shorter lease could not be used,
  ///   while its lender would lack the slot.
  bool LeaseCovers(std::chrono::nanoseconds aTimeout) const;

  /// Requests slots from another VM, at a limited rate. To be called while requests of this VM
  /// wait.
  /// @param aUpstream upstream whose slots are needed.
  /// @param aWaiting number of requests that wait for this upstream or an equivalent one.
  void RequestSlots(const std::string& aUpstream, std::uint32_t aWaiting);

  /// Returns borrowed slots that are free. To be called when no request of this VM waits for the
  /// upstream.
  void ReturnUnusedSlots(const std::string& aUpstream);

  /// Handles a call of a borrower: a request for slots, returned leases or both.
  peer::BorrowResponse OnBorrow(const peer::BorrowRequest& aRequest);

private:
  /// A call to a lender: a request for slots, or returned leases.
  struct Call
  {
    std::string m_lender;
    peer::BorrowRequest m_request;
  };

  void Run();
  void Execute(const Call& aCall);
  void EnqueueCall(const std::string& aLender, peer::BorrowRequest aRequest);

  const VmContext& m_context;
  ZoneSlotPool& m_slotPool;
  const Directory& m_directory;
  peer::PeerClient m_client;
  /// Both are used under the lock of m_slotPool.
  std::optional<policy::SlotLender> m_lender;
  std::optional<policy::SlotBorrower> m_borrower;
  std::atomic<std::chrono::milliseconds> m_duration{ std::chrono::seconds{ 10 } };
  std::function<void()> m_onGrant;
  base::BoundedRing<Call> m_calls;
  std::thread m_thread;
};

} // namespace jaylane::entry
