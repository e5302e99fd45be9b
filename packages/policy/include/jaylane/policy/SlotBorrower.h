#pragma once

#include "jaylane/policy/SlotLender.h"

#include <map>
#include <optional>
#include <vector>

namespace jaylane::policy {

/// Borrower's side of slot leases: whom to ask, what a grant allows, when to return.
class SlotBorrower
{
public:
  struct Options
  {
    /// Duration asked for; must exceed the timeout of the requests that use borrowed slots.
    std::chrono::nanoseconds m_duration{ std::chrono::seconds{ 10 } };
    /// Shortest time between two asks for one upstream. In the simulation 10 ms brings the same
    /// p99 for three times the messages; lenders keep an ask meanwhile.
    std::chrono::nanoseconds m_minIntervalPerUpstream{ std::chrono::milliseconds{ 50 } };
    /// Shortest time between two asks for any upstream, which bounds the messages of a VM
    /// whatever the number of upstreams: at most 50 asks a second.
    std::chrono::nanoseconds m_minInterval{ std::chrono::milliseconds{ 20 } };
    /// A grant that comes later than this after the ask is ignored.
    std::chrono::nanoseconds m_grantTimeout{ std::chrono::seconds{ 1 } };
    /// Part of a lease left unused for the difference of clock rates: 1/512 is twice the
    /// greatest slew of 500 ppm on both sides.
    std::uint32_t m_rateMarginDivisor = 512;
  };

  /// An ask and the VM it goes to.
  struct OutgoingRequest
  {
    VmIncarnation m_lender;
    SlotRequest m_request;
  };

  /// @param aPool must outlive this.
  SlotBorrower(VmIncarnation aSelf, SlotPool& aPool, Options aOptions);

  /// Changes the duration that is asked for.
  void SetLeaseDuration(std::chrono::nanoseconds aDuration) { m_options.m_duration = aDuration; }

  /// To be called when a request has to wait for a slot.
  /// @param aWaiting requests that wait for this upstream.
  /// @return an ask for another owner of the upstream's slots, in turn, or nothing.
  std::optional<OutgoingRequest> MaybeRequest(UpstreamIndex aUpstream,
                                              std::uint32_t aWaiting,
                                              base::MonotonicTime aNow);

  /// Takes over granted slots. A grant for an unknown or already answered ask is ignored; its
  /// leases end at the lender by themselves.
  /// @return number of slots added.
  std::uint32_t OnGrant(const SlotGrant& aGrant, base::MonotonicTime aNow);

  /// @param aWaiting requests that wait for this upstream; slots are kept while there are any.
  /// @return returns to send for slots that are free and no longer needed.
  std::vector<SlotReturn> ReturnUnused(UpstreamIndex aUpstream,
                                       std::uint32_t aWaiting,
                                       base::MonotonicTime aNow);

  /// Gives one free slot back to a lender that needs it more.
  std::optional<SlotReturn> ReturnOne(UpstreamIndex aUpstream, const VmIncarnation& aLender);

  /// @return lenders of the slots borrowed now, each once.
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
    std::uint64_t m_localLease = 0;
    std::uint64_t m_lenderLease = 0;
    VmIncarnation m_lender;
    base::MonotonicTime m_until;
  };
  struct BorrowState
  {
    std::uint32_t m_nextSlot = 0;
    std::optional<base::MonotonicTime> m_lastRequestAt;
    std::vector<HeldLease> m_heldLeases;
  };

  void DropUnanswered(base::MonotonicTime aNow);
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
