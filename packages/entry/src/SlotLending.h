#pragma once

#include "Directory.h"
#include "VmContext.h"
#include "ZoneSlots.h"
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

/// Lends free slots to other VMs of the zone and borrows from them when requests wait.
/// Thread safe; calls to peers are made on a thread of its own.
class SlotLending
{
public:
  SlotLending(const VmContext& aContext, ZoneSlots& aSlots, const Directory& aDirectory);
  ~SlotLending();

  /// @param aHook called when borrowed slots have arrived.
  void SetGrantHook(std::function<void()> aHook) { m_onGrant = std::move(aHook); }

  /// @param aDuration time for which slots are borrowed from now on.
  void SetLeaseDuration(std::chrono::milliseconds aDuration);

  /// @param aTimeout longest time that a request takes.
  /// @return whether borrowed slots could serve such requests; a lease that is shorter than the
  ///   request would be held in vain, while its lender lacks the slot.
  bool CanServe(std::chrono::nanoseconds aTimeout) const;

  /// To be called when requests of this VM wait.
  /// @param aUpstream upstream whose slots would help.
  /// @param aWaiting requests waiting for it or one like it.
  void Need(const std::string& aUpstream, std::uint32_t aWaiting);

  /// To be called when no request of this VM waits for the upstream.
  void Idle(const std::string& aUpstream);

  /// Answers another VM.
  peer::BorrowResponse OnBorrow(const peer::BorrowRequest& aRequest);

private:
  /// A call to a lender: an ask, or leases given back.
  struct Call
  {
    std::string m_lender;
    peer::BorrowRequest m_request;
  };

  void Run();
  void Execute(const Call& aCall);
  void Queue(const std::string& aLender, peer::BorrowRequest aRequest);

  const VmContext& m_context;
  ZoneSlots& m_slots;
  const Directory& m_directory;
  peer::PeerClient m_client;
  /// Both are used under the lock of m_slots.
  std::optional<policy::SlotLender> m_lender;
  std::optional<policy::SlotBorrower> m_borrower;
  std::atomic<std::chrono::milliseconds> m_duration{ std::chrono::seconds{ 10 } };
  std::function<void()> m_onGrant;
  base::BoundedRing<Call> m_calls;
  std::thread m_thread;
};

} // namespace jaylane::entry
