#pragma once

#include "jaylane/policy/SlotPool.h"

#include <optional>
#include <vector>

namespace jaylane::policy {

/// Request for slots, sent by a borrower.
struct SlotRequest
{
  /// Unique within the borrower's incarnation.
  std::uint64_t m_id = 0;
  VmIncarnation m_borrower;
  std::string m_upstream;
  /// Requests that wait for a slot at the borrower.
  std::uint32_t m_waiting = 0;
  std::uint32_t m_amount = 0;
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Reply to a SlotRequest; there is at most one for each.
struct SlotGrant
{
  std::uint64_t m_requestId = 0;
  VmIncarnation m_borrower;
  VmIncarnation m_lender;
  std::string m_upstream;
  std::vector<std::uint64_t> m_leases;
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Early end of leases, sent by a borrower after its attempts on them have ended.
struct SlotReturn
{
  VmIncarnation m_lender;
  std::string m_upstream;
  std::vector<std::uint64_t> m_leases;
};

/// Lender's side of slot leases. Decides how much to lend; the pool does the accounting.
class SlotLender
{
public:
  struct Options
  {
    std::chrono::nanoseconds m_maxDuration{ std::chrono::seconds{ 30 } };
    /// Time for which an ask that could not be met is kept, to be met by a slot that gets free.
    std::chrono::nanoseconds m_queueTime{ std::chrono::milliseconds{ 100 } };
    /// Free slots kept for own arrivals when the borrower has only one request waiting.
    std::uint32_t m_reserve = 1;
    /// A slot is given up although own requests wait if the borrower has more than this
    /// number of additional requests waiting. Prevents that equally loaded VMs exchange slots back
    /// and forth.
    std::uint32_t m_imbalance = 2;
  };

  /// @param aPool must outlive this.
  SlotLender(VmIncarnation aSelf, SlotPool& aPool, Options aOptions);

  /// Handles an ask. It replaces an earlier one of the same borrower for the same upstream.
  /// @param aWaiting own requests that wait for this upstream.
  /// @return leases granted now, or nothing: the ask is then kept for OnFree().
  std::optional<SlotGrant> OnRequest(const SlotRequest& aRequest,
                                     std::uint32_t aWaiting,
                                     base::MonotonicTime aNow);

  /// To be called when a slot got free, before own requests take it.
  /// @return leases for a kept ask, or nothing.
  std::optional<SlotGrant> OnFree(UpstreamIndex aUpstream,
                                  std::uint32_t aWaiting,
                                  base::MonotonicTime aNow);

  /// @return whether @p aLender should get a slot borrowed from it back now, according to its
  /// kept ask.
  bool ShouldReturn(const VmIncarnation& aLender,
                    UpstreamIndex aUpstream,
                    std::uint32_t aWaiting,
                    base::MonotonicTime aNow) const;

  void OnReturn(const SlotReturn& aReturn);

  /// @return asks kept now.
  std::size_t QueuedRequests() const { return m_queuedRequests.size(); }

private:
  struct QueuedRequest
  {
    SlotRequest m_request;
    base::MonotonicTime m_until;
  };

  std::uint32_t Lendable(const SlotRequest& aRequest,
                         std::uint32_t aWaiting,
                         std::uint32_t aFree) const;
  std::optional<SlotGrant> Lend(const SlotRequest& aRequest,
                                std::uint32_t aAmount,
                                base::MonotonicTime aNow);
  const VmIncarnation m_self;
  SlotPool& m_pool;
  const Options m_options;
  std::vector<QueuedRequest> m_queuedRequests;
};

} // namespace jaylane::policy
