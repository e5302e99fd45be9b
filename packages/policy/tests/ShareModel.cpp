#include "ShareModelVm.h"

#include <algorithm>

namespace jaylane::policy {

ShareModel::ShareModel(std::uint64_t aSeed, Omit aOmit, Counts& aCounts)
  : m_omit(aOmit)
  , m_random(aSeed)
  , m_listLag(milliseconds{ Random(2) == 0 ? 1000 : 10'000 })
  , m_listReadOdds(Random(2) == 0 ? 1 : 6)
  , m_lease(milliseconds{ Random(2) == 0 ? 2000 : 6000 })
  , m_faultOdds(Random(2) == 0 ? 6 : 25)
  , m_returnsEarly(Random(2) == 0)
  , m_running(kUpstreams)
  , m_counts(aCounts)
{
  for (int i = 0; i < kVms; ++i) {
    Start();
  }
  m_stored = *MakeInitialShareTable(m_vms[0]->m_id, 2);
  m_version = 1;
}

ShareModel::~ShareModel() = default;

std::uint32_t ShareModel::Random(std::uint32_t aBelow)
{
  // splitmix64, whose state can cheaply be mixed with a word at each step.
  m_random += 0x9e3779b97f4a7c15;
  std::uint64_t mixed = m_random;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return static_cast<std::uint32_t>((mixed >> 33) % aBelow);
}

ShareModel::Time ShareModel::Delay()
{
  return Random(10) == 0 ? milliseconds{ Random(8000) } : milliseconds{ Random(10) };
}

void ShareModel::Start()
{
  SlotPool::Options pool;
  const Time covered = m_omit == Omit::LeaseQuarantine ? Time{ kTimeout } : m_lease;
  pool.m_quarantine = m_omit == Omit::Quarantine ? Time{ 0 } : covered * 11 / 10;
  SlotLender::Options lender;
  lender.m_maxDuration = m_omit == Omit::LenderTime ? m_lease / 2 : m_lease;
  lender.m_queueTime = seconds{ 2 };
  const Time lag = m_omit == Omit::ListLag ? Time{ 0 } : m_listLag * 11 / 10;
  auto vm =
    std::make_shared<Vm>("vm-" + std::to_string(++m_started), m_lease, pool, lender, lag, m_omit);
  vm->m_offset = seconds{ 100 + Random(100'000) };
  vm->m_ratePpm = Random(2) == 0 ? kRateErrorPpm : -kRateErrorPpm;
  for (std::uint32_t i = 0; i < kUpstreams; ++i) {
    vm->m_pool.SetUpstream("upstream-" + std::to_string(i), kSlots);
  }
  m_vms.push_back(vm);
  std::vector<VmIncarnation>& list = m_lists[m_now];
  list.clear();
  for (const auto& running : m_vms) {
    list.push_back(running->m_id);
  }
}

bool ShareModel::Queue(Message aMessage)
{
  if (Random(8) == 0) {
    return false; // lost
  }
  if (Random(10) == 0) {
    m_messages.emplace(m_now + Delay(), aMessage);
  }
  m_messages.emplace(m_now + Delay(), std::move(aMessage));
  return true;
}

bool ShareModel::Send(const std::shared_ptr<Vm>& aTo, std::function<void()> aDeliver)
{
  return aTo && Queue({ aTo, false, std::move(aDeliver) });
}

void ShareModel::SendToStore(std::function<void()> aDeliver)
{
  Queue({ {}, true, std::move(aDeliver) });
}

void ShareModel::Advance(Time aStep)
{
  const Time target = m_now + aStep;
  while (!m_messages.empty() && m_messages.begin()->first <= target) {
    auto node = m_messages.extract(m_messages.begin());
    m_now = std::max(m_now, node.key());
    const auto receiver = node.mapped().m_to.lock();
    if (receiver && receiver->m_isolatedUntil > m_now) {
      continue;
    }
    if (receiver && receiver->m_pausedUntil > m_now) {
      // A paused process receives the message when it resumes.
      m_messages.emplace(receiver->m_pausedUntil, std::move(node.mapped()));
    } else if (receiver || node.mapped().m_toStore) {
      node.mapped().m_deliver();
    }
  }
  m_now = target;
}

std::shared_ptr<ShareModel::Vm> ShareModel::Find(const VmIncarnation& aIncarnation)
{
  const auto found =
    std::ranges::find_if(m_vms, [&](const auto& aVm) { return aVm->m_id == aIncarnation; });
  return found != m_vms.end() ? *found : nullptr;
}

void ShareModel::Acquire(Vm& aVm)
{
  const Time timeout = m_omit == Omit::AttemptTimeout ? Time{ 0 } : Time{ kTimeout };
  if (const auto ticket = aVm.m_pool.Acquire(Random(kUpstreams), aVm.Clock(m_now), timeout)) {
    aVm.m_attempts.push_back({ *ticket });
  }
}

void ShareModel::Dispatch(Vm& aVm)
{
  const Time timeout = m_omit == Omit::AttemptTimeout ? Time{ 0 } : Time{ kTimeout };
  std::erase_if(aVm.m_attempts, [&](Vm::Attempt& aAttempt) {
    if (aAttempt.m_dispatched) {
      return false;
    }
    if (m_omit != Omit::DispatchCheck &&
        !aVm.m_pool.MayDispatch(aAttempt.m_ticket, aVm.Clock(m_now), timeout)) {
      aVm.m_pool.Release(aAttempt.m_ticket);
      return true;
    }
    // The upstream ends an attempt by its deadline, whether the VM runs or not.
    const Time duration = Random(3) == 0 ? kTimeout : milliseconds{ 1 + Random(1000) };
    aAttempt.m_dispatched = true;
    aAttempt.m_end = m_now + duration;
    ++(aAttempt.m_ticket.m_lease == 0 ? m_counts.m_ownAttempts : m_counts.m_borrowedAttempts);
    std::vector<Time>& running = m_running[aAttempt.m_ticket.m_upstream];
    std::erase_if(running, [&](Time aEnd) { return aEnd <= m_now; });
    running.push_back(aAttempt.m_end);
    m_exceeded = m_exceeded || running.size() > kSlots;
    return false;
  });
}

void ShareModel::Finish(Vm& aVm)
{
  std::erase_if(aVm.m_attempts, [&](const Vm::Attempt& aAttempt) {
    if (!aAttempt.m_dispatched || aAttempt.m_end > m_now) {
      return false;
    }
    const UpstreamIndex upstream = aAttempt.m_ticket.m_upstream;
    aVm.m_pool.Release(aAttempt.m_ticket);
    SendGrant(aVm.m_slotLender.OnFree(upstream, Random(2), aVm.Clock(m_now)));
    for (const VmIncarnation& lender : aVm.m_borrower.Lenders(upstream)) {
      if (aVm.m_slotLender.ShouldReturn(lender, upstream, 0, aVm.Clock(m_now))) {
        if (const auto slotReturn = aVm.m_borrower.ReturnOne(upstream, lender)) {
          SendReturns({ *slotReturn });
        }
      }
    }
    return true;
  });
  const UpstreamIndex upstream = Random(kUpstreams);
  SendReturns(
    aVm.m_borrower.ReturnUnused(upstream, m_returnsEarly ? Random(2) : 1, aVm.Clock(m_now)));
}

void ShareModel::SendGrant(std::optional<SlotGrant> aGrant)
{
  if (!aGrant) {
    return;
  }
  if (m_omit == Omit::LenderTime) {
    aGrant->m_duration = m_lease;
  }
  const auto borrower = Find(aGrant->m_borrower);
  Send(borrower, [this, to = borrower.get(), grant = *aGrant] {
    to->m_borrower.OnGrant(grant, to->Clock(m_now));
  });
}

void ShareModel::SendReturns(const std::vector<SlotReturn>& aReturns)
{
  for (const SlotReturn& slotReturn : aReturns) {
    const auto lender = Find(slotReturn.m_lender);
    Send(lender, [to = lender.get(), slotReturn] { to->m_slotLender.OnReturn(slotReturn); });
  }
}

void ShareModel::RequestSlots(const std::shared_ptr<Vm>& aVm)
{
  const auto request =
    aVm->m_borrower.MaybeRequestSlots(Random(kUpstreams), 1 + Random(5), aVm->Clock(m_now));
  if (!request) {
    return;
  }
  const auto lender = Find(request->m_lender);
  Send(lender, [this, to = std::weak_ptr(lender), message = request->m_request] {
    const auto vm = to.lock();
    SendGrant(vm->m_slotLender.OnRequest(message, Random(2), vm->Clock(m_now)));
  });
}

void ShareModel::ReadTable(const std::shared_ptr<Vm>& aVm)
{
  SendToStore([this, vm = aVm] {
    Send(vm, [this, to = vm.get(), table = *m_stored, version = m_version] {
      to->Apply(table, version, m_now);
    });
  });
}

void ShareModel::ReadList(const std::shared_ptr<Vm>& aVm)
{
  if (Random(m_listReadOdds) != 0) {
    return;
  }
  const auto requestedAt = aVm->Clock(m_now);
  const Time age = std::min<Time>(
    m_now, milliseconds{ Random(3) == 0 ? 0 : Random(m_listLag / milliseconds{ 1 }) });
  const auto list = std::prev(m_lists.upper_bound(m_now - age))->second;
  Send(aVm, [to = aVm.get(), list, requestedAt] {
    to->m_list = list;
    to->m_tracker.ObserveList(list, requestedAt);
  });
}

void ShareModel::Write(const std::shared_ptr<Vm>& aVm, ShareTable aTable, int& aCount)
{
  // Encodes and decodes the value, as a write to the store does.
  ShareTable table = *ShareTable::FromJson(aTable.ToJson());
  const std::uint64_t condition = aVm->m_pool.TableVersion();
  SendToStore([this, vm = aVm, table, condition, &aCount] {
    if (condition != m_version && m_omit != Omit::ConditionalWrite) {
      ++m_counts.m_conflicts;
      return;
    }
    ++aCount;
    m_stored = table;
    m_version += 1 + Random(2);
    const bool sent = Send(
      vm, [this, to = vm.get(), table, version = m_version] { to->Apply(table, version, m_now); });
    m_counts.m_lostResponses += sent ? 0 : 1;
  });
}

void ShareModel::Donate(const std::shared_ptr<Vm>& aVm)
{
  Vm& vm = *aVm;
  if (!vm.m_table || vm.m_list.empty()) {
    return;
  }
  if (!vm.m_donation) {
    std::vector<VmIncarnation> receivers = vm.m_list;
    if (Random(30) == 0) { // a graceful shutdown
      std::erase(receivers, vm.m_id);
    }
    vm.m_donation = PlanDonation(*vm.m_table, vm.m_id, receivers);
    if (vm.m_donation) {
      vm.m_pool.BeginDrain(vm.m_donation->Units());
    }
    return;
  }
  const auto units = vm.m_donation->Units();
  const auto next = ApplyDonation(*vm.m_table, *vm.m_donation);
  const auto now = vm.Clock(m_now);
  const bool drained = m_omit == Omit::Drain || vm.m_pool.IsDrained(units, now);
  const bool ready = next && drained &&
                     (m_omit == Omit::ReadBack || m_omit == Omit::Drain ||
                      vm.m_pool.BeginDonation(units, vm.m_pool.TableVersion(), now));
  if (ready) {
    Write(aVm, *next, m_counts.m_donations);
  }
  if (ready || !next || Random(4) == 0) {
    if (!ready || m_omit != Omit::Drain) {
      vm.m_pool.CancelDrain(units);
    }
    vm.m_donation.reset();
  }
}

void ShareModel::Reclaim(const std::shared_ptr<Vm>& aVm)
{
  if (!aVm->m_table) {
    return;
  }
  const auto gone = aVm->m_tracker.DepartedOwners();
  if (auto next = PlanReclaim(*aVm->m_table, aVm->m_pool.TableVersion(), gone, aVm->m_list)) {
    Write(aVm, *std::move(next), m_counts.m_reclaims);
  }
}

void ShareModel::Grow(const std::shared_ptr<Vm>& aVm)
{
  if (aVm->m_table && aVm->m_table->Units() < kMaxUnits && Random(10) == 0) {
    ShareTable next = *aVm->m_table;
    next.Double();
    Write(aVm, std::move(next), m_counts.m_growths);
  }
}

void ShareModel::Gossip(Vm& aVm)
{
  const auto peer = m_vms[Random(m_vms.size())];
  if (aVm.m_table) {
    Send(peer, [this, to = peer.get(), table = *aVm.m_table, version = aVm.m_pool.TableVersion()] {
      to->Apply(table, version, m_now);
    });
  }
}

void ShareModel::PauseOrIsolate(Vm& aVm)
{
  const Time until = m_now + milliseconds{ Random(15'000) };
  switch (Random(m_faultOdds)) {
    case 0:
      aVm.m_pausedUntil = until;
      ++m_counts.m_pauses;
      break;
    case 1:
      aVm.m_isolatedUntil = until; // runs, but receives nothing
      ++m_counts.m_isolations;
      break;
    default:
      break;
  }
}

void ShareModel::Crash(const std::shared_ptr<Vm>& aVm)
{
  if (Random(40) == 0) {
    ++m_counts.m_crashes;
    std::erase(m_vms, aVm);
    Start();
  }
}

void ShareModel::PerformAction(const std::shared_ptr<Vm>& aVm, std::uint32_t aAction)
{
  switch (aAction) {
    case 0:
      return ReadTable(aVm);
    case 1:
      return ReadList(aVm);
    case 2:
      return Donate(aVm);
    case 3:
      return Reclaim(aVm);
    case 4:
      return Gossip(*aVm);
    case 5:
      return PauseOrIsolate(*aVm);
    case 6:
      return Crash(aVm);
    case 7:
      return Grow(aVm);
    default:
      break;
  }
  switch (aAction % 8) {
    case 0:
      return RequestSlots(aVm);
    case 1:
    case 2:
      return Dispatch(*aVm);
    case 3:
    case 4:
      return Finish(*aVm);
    default:
      return Acquire(*aVm);
  }
}

bool ShareModel::Step(std::uint32_t aWord)
{
  m_random ^= aWord;
  Advance(milliseconds{ Random(100) == 0 ? Random(2000) : Random(12) });
  const auto vm = m_vms[(aWord >> 5) % m_vms.size()];
  if (vm->m_pausedUntil <= m_now) {
    PerformAction(vm, aWord % 32);
  }
  return !m_exceeded;
}

} // namespace jaylane::policy
