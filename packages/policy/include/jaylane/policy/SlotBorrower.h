#pragma once

#include "jaylane/policy/SlotLender.h"

#include <map>
#include <optional>
#include <vector>

namespace jaylane::policy {

/// Borrower's side of slot leases: selects lenders, limits the rate of requests, tracks granted
/// leases and returns them.
class SlotBorrower
{
public:
  struct Options
  {
    /// Lease duration to request; must exceed the timeout of the requests that use borrowed slots.
    std::chrono::nanoseconds m_duration{ std::chrono::seconds{ 10 } };
    /// Shortest time between two requests for slots of one upstream. With 10 ms, LendingSim shows
    /// the same p99 latency for three times the messages, since lenders queue requests meanwhile.
    std::chrono::nanoseconds m_minIntervalPerUpstream{ std::chrono::milliseconds{ 50 } };
    /// Shortest time between two requests for slots of any upstream. Limits a VM to 50 requests per
    /// second, whatever the number of upstreams.
    std::chrono::nanoseconds m_minInterval{ std::chrono::milliseconds{ 20 } };
    /// A grant that arrives later than this after its request is ignored.
    std::chrono::nanoseconds m_grantTimeout{ std::chrono::seconds{ 1 } };
    /// The last 1/m_rateMarginDivisor of a lease is left unused, to allow for different clock
    /// rates: 1/512 is twice the largest slew of 500 ppm on both sides.
    std::uint32_t m_rateMarginDivisor = 512;
  };

  /// A request and the VM to send it to.
  struct OutgoingRequest
  {
    VmIncarnation m_lender;
    SlotRequest m_request;
  };

  /// @param aPool must outlive this.
  SlotBorrower(VmIncarnation aSelf, SlotPool& aPool, Options aOptions);

  /// Changes the lease duration of future requests.
  void SetLeaseDuration(std::chrono::nanoseconds aDuration) { m_options.m_duration = aDuration; }

  /// To be called when a caller's request has to wait for a slot.
  /// @param aWaiting number of requests that wait for this upstream.
  /// @return a request to another owner of the upstream's slots, chosen in turn, or nothing if the
  ///   minimum intervals have not passed or there is no other owner.
  std::optional<OutgoingRequest> MaybeRequestSlots(UpstreamIndex aUpstream,
                                                   std::uint32_t aWaiting,
                                                   base::MonotonicTime aNow);

  /// Adds granted slots to the pool. A grant for an unknown or already answered request is ignored;
  /// its leases expire at the lender.
  /// @return number of slots added.
  std::uint32_t OnGrant(const SlotGrant& aGrant, base::MonotonicTime aNow);

  /// Gives back all free borrowed slots, unless requests wait.
  /// @param aWaiting number of requests that wait for this upstream.
  /// @return returns to send to the lenders.
  std::vector<SlotReturn> ReturnUnused(UpstreamIndex aUpstream,
                                       std::uint32_t aWaiting,
                                       base::MonotonicTime aNow);

  /// Gives one free borrowed slot back to a lender that needs it more.
  /// @return the return to send, or nothing if no slot of that lender is free.
  std::optional<SlotReturn> ReturnOne(UpstreamIndex aUpstream, const VmIncarnation& aLender);

  /// @return lenders of the slots that are borrowed at present, without duplicates.
  std::vector<VmIncarnation> Lenders(UpstreamIndex aUpstream) const;

private:
  struct PendingRequest
  {
    UpstreamIndex m_upstream = 0;
    VmIncarnation m_lender;
    base::MonotonicTime m_sentAt;
  };
  struct HeldLease
  {
    std::uint64_t m_localLease = 0;  ///< Id in this VM's SlotPool.
    std::uint64_t m_lenderLease = 0; ///< Id at the lender.
    VmIncarnation m_lender;
    base::MonotonicTime m_until;
  };
  struct BorrowState
  {
    std::uint32_t m_nextSlot = 0; ///< Slot at which the search for the next lender starts.
    std::optional<base::MonotonicTime> m_lastRequestAt;
    std::vector<HeldLease> m_heldLeases;
  };

  /// Drops pending requests whose grants would come too late.
  void DropUnanswered(base::MonotonicTime aNow);
  /// @return the next owner of the upstream's slots that is not this VM, round robin, or nullptr.
  const VmIncarnation* NextLender(BorrowState& aState, UpstreamIndex aUpstream) const;

  const VmIncarnation m_self;
  SlotPool& m_pool;
  Options m_options;
  std::map<std::uint64_t, PendingRequest> m_pending;
  std::map<UpstreamIndex, BorrowState> m_states;
  std::optional<base::MonotonicTime> m_lastRequestAt;
  std::uint64_t m_nextId = 1;
  std::uint64_t m_nextLocalLease = 1;
};

} // namespace jaylane::policy
