#include "SlotLeaseManager.h"

#include <algorithm>
#include <utility>

namespace jaylane::entry {

namespace {

// Calls that may wait for the thread.
constexpr std::size_t kMaxCalls = 64;
constexpr std::chrono::milliseconds kCallTimeout{ 200 };

} // namespace

SlotLeaseManager::SlotLeaseManager(const VmContext& aContext,
                                   ZoneSlotPool& aSlotPool,
                                   const Directory& aDirectory)
  : m_context(aContext)
  , m_slotPool(aSlotPool)
  , m_directory(aDirectory)
  , m_client(aContext.m_settings.m_peerKey)
  , m_calls(kMaxCalls)
{
  m_slotPool.WithLock([this](policy::SlotPool& aPool) {
    m_ledger.emplace(m_context.m_incarnationText, aPool, policy::SlotLedger::Options{});
    m_borrower.emplace(m_context.m_incarnationText, aPool, policy::SlotBorrower::Options{});
  });
  m_thread = std::thread([this] { Run(); });
}

SlotLeaseManager::~SlotLeaseManager()
{
  m_calls.Close();
  m_thread.join();
}

void SlotLeaseManager::SetLeaseDuration(std::chrono::milliseconds aDuration)
{
  m_duration = aDuration;
  m_slotPool.WithLock([&](policy::SlotPool&) { m_borrower->SetDuration(aDuration); });
}

bool SlotLeaseManager::LeaseCovers(std::chrono::nanoseconds aTimeout) const
{
  const std::chrono::nanoseconds duration = m_duration.load();
  const auto margin = duration / policy::SlotBorrower::Options{}.m_rateMarginDivisor;
  return aTimeout + margin + kCallTimeout < duration;
}

void SlotLeaseManager::EnqueueCall(const std::string& aLender, peer::BorrowRequest aRequest)
{
  aRequest.m_borrower = m_context.m_incarnationText;
  // Calls are dropped if the ring is full: requests for slots are repeated, and leases that are not
  // returned expire.
  m_calls.TryPush({ aLender, std::move(aRequest) });
}

void SlotLeaseManager::RequestSlots(const std::string& aUpstream, std::uint32_t aWaiting)
{
  const auto now = m_context.m_clock.Monotonic();
  const auto outgoing = m_slotPool.WithLock([&](policy::SlotPool& aPool) {
    const auto index = aPool.Find(aUpstream);
    return index ? m_borrower->MaybeAsk(*index, aWaiting, now) : std::nullopt;
  });
  if (outgoing) {
    peer::BorrowRequest request;
    request.m_id = outgoing->m_ask.m_id;
    request.m_upstream = outgoing->m_ask.m_upstream;
    request.m_waiting = outgoing->m_ask.m_waiting;
    request.m_amount = outgoing->m_ask.m_amount;
    request.m_duration = outgoing->m_ask.m_duration;
    EnqueueCall(outgoing->m_lender, std::move(request));
  }
}

void SlotLeaseManager::ReturnUnusedSlots(const std::string& aUpstream)
{
  const auto now = m_context.m_clock.Monotonic();
  const auto returns = m_slotPool.WithLock([&](policy::SlotPool& aPool) {
    const auto index = aPool.Find(aUpstream);
    return index ? m_borrower->ReturnUnused(*index, 0, now) : std::vector<policy::SlotReturn>();
  });
  for (const policy::SlotReturn& unused : returns) {
    peer::BorrowRequest request;
    request.m_upstream = unused.m_upstream;
    request.m_returned = unused.m_leases;
    EnqueueCall(unused.m_lender, std::move(request));
  }
}

void SlotLeaseManager::Run()
{
  constexpr std::chrono::hours kMaxPopWait{ 1 };
  for (;;) {
    const auto call = m_calls.Pop(kMaxPopWait);
    if (call) {
      Execute(*call);
    } else if (m_calls.IsClosed()) {
      return;
    }
  }
}

void SlotLeaseManager::Execute(const Call& aCall)
{
  const auto view = m_directory.Current();
  const EntryVmRef* lender = view->FindIncarnation(aCall.m_lender);
  if (!lender) {
    return;
  }
  const auto response = m_client.Borrow(lender->m_peerAddress, aCall.m_request, kCallTimeout);
  if (!response || response->m_leases.empty()) {
    return;
  }
  const policy::SlotGrant grant{ aCall.m_request.m_id, m_context.m_incarnationText,
                                 response->m_lender,   aCall.m_request.m_upstream,
                                 response->m_leases,   response->m_duration };
  const auto now = m_context.m_clock.Monotonic();
  m_slotPool.WithLock([&](policy::SlotPool&) { return m_borrower->OnGrant(grant, now); });
  if (m_onGrant) {
    m_onGrant();
  }
}

peer::BorrowResponse SlotLeaseManager::OnBorrow(const peer::BorrowRequest& aRequest)
{
  const auto now = m_context.m_clock.Monotonic();
  peer::BorrowResponse response;
  response.m_lender = m_context.m_incarnationText;
  const auto grant = m_slotPool.WithLock([&](policy::SlotPool&) {
    if (!aRequest.m_returned.empty()) {
      m_ledger->OnReturn({ response.m_lender, aRequest.m_upstream, aRequest.m_returned });
    }
    const policy::SlotAsk ask{ aRequest.m_id,      aRequest.m_borrower, aRequest.m_upstream,
                               aRequest.m_waiting, aRequest.m_amount,   aRequest.m_duration };
    return aRequest.m_amount > 0 ? m_ledger->OnAsk(ask, 0, now) : std::nullopt;
  });
  if (grant) {
    response.m_leases = grant->m_leases;
    response.m_duration = grant->m_duration;
  }
  return response;
}

} // namespace jaylane::entry
