#include "jaylane/policy/ExecutionLedger.h"

#include "jaylane/policy/ExecutionError.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kVms = 3;
constexpr std::size_t kRecentKeys = 24;
constexpr std::size_t kRecentTransfers = 6;
const ExecutionLedgerOptions kOptions{ 10s, 4s, 2s, 4, 4 };

// Simulates entry VMs, their callers and the scope transfers between VMs. The generated steps
// deliver transfers late, twice, to the wrong VM or not at all. Each step checks that no key runs
// twice and that no key runs of which a caller was told that it did not.
class LedgerSimulation
{
public:
  LedgerSimulation()
  {
    for (std::size_t i = 0; i < kVms; ++i) {
      Restart(i);
    }
  }

  void Step(std::uint8_t aKind, std::uint8_t aFirst, std::uint8_t aSecond)
  {
    const std::size_t vm = aFirst % kVms;
    switch (aKind % 16) {
      case 0:
      case 1:
        return Lookup(vm);
      case 2:
        // Some pauses of a VM or caller are longer than an epoch.
        m_now += std::chrono::milliseconds{ aFirst * (aSecond % 8 == 0 ? 100 : 15) };
        return;
      case 3:
        return aSecond % 4 == 0 ? Restart(vm) : Stop(vm, aSecond % kVms);
      case 4:
      case 5:
        return Deliver(aFirst, aSecond % kVms);
      case 6:
      case 7:
      case 8:
        return Finish(vm, aSecond);
      default:
        return Send(aFirst, aSecond % kVms);
    }
  }

private:
  using Running = std::pair<ExecutionKey, std::uint64_t>;

  void Restart(std::size_t aVm)
  {
    const Incarnation own{ ++m_incarnations, aVm };
    m_vms[aVm] = *ExecutionLedger::Make(kOptions, own, m_now);
    m_running[aVm].clear();
  }

  void Lookup(std::size_t aVm)
  {
    if (const auto scope = m_vms[aVm]->CurrentScope(m_now)) {
      m_keys.push_back({ *scope, "n" + std::to_string(m_keys.size()) });
    }
  }

  void Send(std::size_t aKey, std::size_t aVm)
  {
    if (m_keys.empty()) {
      return;
    }
    // Chooses among recent keys, so that several copies of one key are sent.
    const auto& key = m_keys[m_keys.size() - 1 - aKey % std::min(m_keys.size(), kRecentKeys)];
    const auto result = m_vms[aVm]->Begin(key, m_now);
    if (result.m_admission == Admission::Run) {
      RC_ASSERT(m_ran.insert(key).second);
      RC_ASSERT(!m_notRun.contains(key));
      m_running[aVm].push_back(key);
    } else if (result.m_admission == Admission::RefusedFull ||
               result.m_record.m_state == KeyState::NotRun) {
      RC_ASSERT(!m_ran.contains(key));
      m_notRun.insert(key);
    }
    RC_ASSERT(m_vms[aVm]->size() <= kOptions.m_maxKeys);
  }

  void Finish(std::size_t aVm, std::uint8_t aHow)
  {
    auto& running = m_running[aVm];
    if (running.empty()) {
      return;
    }
    const auto key = running[aHow % running.size()];
    std::erase(running, key);
    ExecutionRecord record{ KeyState::Completed, 200 };
    if (aHow % 3 == 0) {
      // The upstream proved that it did not execute the request.
      record = { KeyState::NotRun, 0 };
      m_ran.erase(key);
      m_notRun.insert(key);
    }
    m_vms[aVm]->Finish(key, record, m_now);
  }

  void Stop(std::size_t aVm, std::size_t aPeer)
  {
    const auto transfer = m_vms[aVm]->Export(m_vms[aPeer]->Own(), m_now);
    if (transfer) {
      m_transfers.push_back(*transfer);
    }
    RC_ASSERT(m_vms[aVm]->IsSealed());
  }

  void Deliver(std::size_t aTransfer, std::size_t aVm)
  {
    if (m_transfers.empty()) {
      return;
    }
    const auto& transfer = m_transfers[m_transfers.size() - 1 -
                                       aTransfer % std::min(m_transfers.size(), kRecentTransfers)];
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      // Mostly to the recipient, sometimes to a wrong VM.
      if (aTransfer >= 64 ? m_vms[vm]->Own() == transfer.m_recipient : vm == aVm) {
        (void)m_vms[vm]->Import(transfer, m_now);
      }
    }
  }

  base::MonotonicTime m_now{ 1h };
  std::uint64_t m_incarnations = 0;
  std::array<std::optional<ExecutionLedger>, kVms> m_vms;
  std::array<std::vector<ExecutionKey>, kVms> m_running;
  std::vector<ExecutionKey> m_keys;
  std::vector<ScopeTransfer> m_transfers;
  std::set<ExecutionKey> m_ran;
  std::set<ExecutionKey> m_notRun;
};

// Guards against a second run of a key, and against the outcome not-run for a key that has run or
// runs later, under resends to all VMs, crashes, stops with lost or repeated transfers, and pauses.
RC_GTEST_PROP(ExecutionLedger, AKeyNeverRunsTwice, ())
{
  using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  // Bytes cover the full range whatever the size of the test case; only the number of steps grows.
  const auto byte = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<int>(0, 256));
  const auto step = rc::gen::map(rc::gen::tuple(byte, byte, byte), [](const auto& aBytes) {
    return std::apply([](auto... aByte) { return Step(aByte...); }, aBytes);
  });
  const auto steps = *rc::gen::scale(40, rc::gen::container<std::vector<Step>>(step));
  LedgerSimulation simulation;
  for (const auto& [kind, first, second] : steps) {
    simulation.Step(kind, first, second);
  }
}

class ExecutionLedgerTest : public testing::Test
{
protected:
  ExecutionKey Key(const char* aNonce) { return { *m_ledger.CurrentScope(m_now), aNonce }; }

  base::MonotonicTime m_now{ 1h };
  ExecutionLedger m_ledger = *ExecutionLedger::Make(kOptions, { 1, 2 }, m_now);
};

// Guards against a repeated request that does not get the outcome of the first copy.
TEST_F(ExecutionLedgerTest, AnswersRepeatsFromTheRecord)
{
  const auto key = Key("a");
  EXPECT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Run);
  EXPECT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Running);
  m_ledger.Finish(key, { KeyState::Completed, 201 }, m_now);
  const auto repeat = m_ledger.Begin(key, m_now);
  EXPECT_EQ(repeat.m_admission, Admission::Finished);
  EXPECT_EQ(repeat.m_record.m_status, 201);
}

// Guards against running keys of other incarnations, of future and of expired epochs.
TEST_F(ExecutionLedgerTest, RunsOnlyKeysOfItsLiveEpochs)
{
  auto key = Key("a");
  auto foreign = key;
  foreign.m_scope.m_incarnation.m_low = 3;
  EXPECT_EQ(m_ledger.Begin(foreign, m_now).m_admission, Admission::Foreign);
  auto future = key;
  ++future.m_scope.m_epoch;
  EXPECT_EQ(m_ledger.Begin(future, m_now).m_admission, Admission::Expired);
  m_now += 13999ms;
  EXPECT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Run);
  m_now += 1ms;
  EXPECT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Running);
  EXPECT_EQ(m_ledger.Begin({ key.m_scope, "b" }, m_now).m_admission, Admission::Expired);
  m_now += 1h;
  m_ledger.Finish(key, { KeyState::Completed, 200 }, m_now);
  EXPECT_EQ(m_ledger.size(), 0u);
  EXPECT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Expired);
}

// Guards against unbounded memory, and against a delayed copy that runs after the caller was told
// that the request did not.
TEST_F(ExecutionLedgerTest, RefusesForGoodWhenFull)
{
  const auto first = Key("first");
  for (std::size_t i = 0; i < kOptions.m_maxKeys; ++i) {
    const ExecutionKey key{ first.m_scope, std::to_string(i) };
    ASSERT_EQ(m_ledger.Begin(key, m_now).m_admission, Admission::Run);
    m_ledger.Finish(key, { KeyState::Completed, 200 }, m_now);
  }
  m_now += 10s;
  const auto second = Key("late");
  ASSERT_NE(first.m_scope, second.m_scope);
  EXPECT_EQ(m_ledger.Begin(second, m_now).m_admission, Admission::RefusedFull);
  m_now += 6s;
  EXPECT_EQ(m_ledger.Begin(second, m_now).m_admission, Admission::RefusedFull);
  const auto third = Key("late");
  ASSERT_NE(second.m_scope, third.m_scope);
  EXPECT_EQ(m_ledger.Begin(third, m_now).m_admission, Admission::Run);
}

// Guards against two VMs that run keys of one scope, because a stopping VM whose transfer was not
// answered offers it to another peer.
TEST_F(ExecutionLedgerTest, HandsItsScopesToOnePeerOnly)
{
  const auto done = Key("done");
  const auto open = Key("open");
  const auto unseen = Key("unseen");
  m_ledger.Begin(done, m_now);
  m_ledger.Finish(done, { KeyState::Completed, 204 }, m_now);
  m_ledger.Begin(open, m_now);
  auto peer = *ExecutionLedger::Make(kOptions, { 5, 5 }, m_now);
  auto other = *ExecutionLedger::Make(kOptions, { 6, 6 }, m_now);
  const auto transfer = m_ledger.Export(peer.Own(), m_now);
  ASSERT_TRUE(transfer);
  EXPECT_FALSE(m_ledger.CurrentScope(m_now));
  EXPECT_EQ(m_ledger.Begin(unseen, m_now).m_admission, Admission::Sealed);
  EXPECT_EQ(m_ledger.Export(other.Own(), m_now).GetError().m_code, ExecutionErrc::Sealed);
  EXPECT_EQ(other.Import(*transfer, m_now).GetError().m_code, ExecutionErrc::WrongRecipient);

  ASSERT_TRUE(peer.Import(*transfer, m_now));
  EXPECT_EQ(peer.Begin(done, m_now).m_record.m_status, 204);
  EXPECT_EQ(peer.Begin(open, m_now).m_record.m_state, KeyState::Unknown);
  EXPECT_EQ(peer.Begin(unseen, m_now).m_admission, Admission::Run);
  ASSERT_TRUE(peer.Import(*transfer, m_now));
  EXPECT_EQ(peer.Begin(unseen, m_now).m_admission, Admission::Running);
}

// Guards against a transfer that displaces the keys of the receiving VM.
TEST_F(ExecutionLedgerTest, RefusesAnImportThatDoesNotFit)
{
  ScopeTransfer transfer{ m_ledger.Own(), { 9, 9 }, { { { { 9, 9 }, 1 }, 5s, false, {} } } };
  for (std::size_t i = 0; i <= kOptions.m_maxKeys; ++i) {
    transfer.m_epochs[0].m_keys.push_back({ std::to_string(i), { KeyState::Completed, 200 } });
  }
  EXPECT_EQ(m_ledger.Import(transfer, m_now).GetError().m_code, ExecutionErrc::Full);
  EXPECT_EQ(m_ledger.size(), 0u);
  EXPECT_EQ(m_ledger.Begin({ { { 9, 9 }, 1 }, "x" }, m_now).m_admission, Admission::Foreign);
}

// Guards against options with which an epoch would never end or never accept.
TEST(ExecutionLedgerOptions, MustBePositive)
{
  auto options = kOptions;
  options.m_epochLength = 0ms;
  EXPECT_FALSE(ExecutionLedger::Make(options, {}, {}));
}

} // namespace
} // namespace jaylane::policy
