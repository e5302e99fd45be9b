#pragma once

#include "jaylane/policy/SlotPool.h"

#include <optional>
#include <vector>

namespace jaylane::policy {

/// Request to lease slots, sent by a borrower.
struct SlotRequest
{
  /// Unique within the borrower's incarnation.
  std::uint64_t m_id = 0;
  VmIncarnation m_borrower;
  std::string m_upstream;
  /// Number of callers' requests that wait for a slot at the borrower.
  std::uint32_t m_waiting = 0;
  /// Number of slots to lease.
  std::uint32_t m_amount = 0;
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Response to a SlotRequest, at most one for each.
struct SlotGrant
{
  std::uint64_t m_requestId = 0;
  VmIncarnation m_borrower;
  VmIncarnation m_lender;
  std::string m_upstream;
  std::vector<std::uint64_t> m_leases;
  std::chrono::nanoseconds m_duration{ 0 };
};

/// Ends leases early; sent by a borrower after its attempts on the slots have ended.
struct SlotReturn
{
  VmIncarnation m_lender;
  std::string m_upstream;
  std::vector<std::uint64_t> m_leases;
};

/// Lender's side of slot leases: decides how many slots to lend. SlotPool does the accounting.
class SlotLender
{
public:
  struct Options
  {
    /// Longest lease that is granted.
    std::chrono::nanoseconds m_maxDuration{ std::chrono::seconds{ 30 } };
    /// Time for which a request that could not be met stays queued for slots that become free.
    std::chrono::nanoseconds m_queueTime{ std::chrono::milliseconds{ 100 } };
    /// Free slots kept for this VM's own arrivals if the borrower has only one request waiting.
    std::uint32_t m_reserve = 1;
    /// A slot is lent although this VM has requests waiting if the borrower has more waiting, by
    /// more than this number. Keeps equally loaded VMs from exchanging slots back and forth.
    std::uint32_t m_imbalance = 2;
  };

  /// @param aPool must outlive this.
  SlotLender(VmIncarnation aSelf, SlotPool& aPool, Options aOptions);

  /// Handles a request, which replaces an earlier one of the same borrower for the same upstream.
  /// @param aWaiting number of this VM's requests that wait for this upstream.
  /// @return leases granted now, or nothing: the request is then queued for OnFree().
  std::optional<SlotGrant> OnRequest(const SlotRequest& aRequest,
                                     std::uint32_t aWaiting,
                                     base::MonotonicTime aNow);

  /// To be called when a slot becomes free, before this VM's waiting requests take it.
  /// @return leases for a queued request, or nothing.
  std::optional<SlotGrant> OnFree(UpstreamIndex aUpstream,
                                  std::uint32_t aWaiting,
                                  base::MonotonicTime aNow);

  /// @return whether a slot borrowed from @p aLender should be returned now, because its queued
  /// request shows that it has more requests waiting.
  bool ShouldReturn(const VmIncarnation& aLender,
                    UpstreamIndex aUpstream,
                    std::uint32_t aWaiting,
                    base::MonotonicTime aNow) const;

  void OnReturn(const SlotReturn& aReturn);

  /// @return number of queued requests.
  std::size_t QueuedRequests() const { return m_queuedRequests.size(); }

private:
  struct QueuedRequest
  {
    SlotRequest m_request;
    base::MonotonicTime m_until;
  };

  /// @return number of slots to lend for a request.
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
