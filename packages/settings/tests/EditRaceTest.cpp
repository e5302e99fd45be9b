#include "jaylane/settings/EditMerger.h"

#include "SampleTree.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>
#include <stdexcept>

namespace jaylane::settings {
namespace {

/// Throws if the condition is false; an exception fails both a rapidcheck property and a plain
/// test.
#define JAYLANE_REQUIRE(aCondition)                                                                \
  if (!(aCondition)) {                                                                             \
    throw std::logic_error("violated: " #aCondition);                                              \
  }

/// Fault of a conditional update.
enum Fault
{
  None,
  RequestLost,
  ResponseLost,
  /// The response is lost, and the request reaches the store at an arbitrary later time.
  Delayed,
  FaultCount,
};

/// Store with the settings document as its only object; records every accepted edit.
class Store
{
public:
  Store() { m_value.m_tree = *SettingsTree::ParseYaml(kSampleTree, "t"); }

  bool Put(const SettingsDocument& aValue, std::uint64_t aIfVersion)
  {
    if (aIfVersion != m_version) {
      return false;
    }
    ++m_version;
    JAYLANE_REQUIRE(aValue.m_generation == m_value.m_generation + 1);
    m_accepted.push_back(aValue.m_history.back());
    m_value = aValue;
    return true;
  }

  void ApplyDelayedWrite()
  {
    if (!m_delayedWrites.empty()) {
      auto [value, version] = m_delayedWrites.back();
      m_delayedWrites.pop_back();
      Put(value, version);
    }
  }

  SettingsDocument m_value;
  std::uint64_t m_version = 1;
  std::vector<std::pair<SettingsDocument, std::uint64_t>> m_delayedWrites;
  std::vector<HistoryEntry> m_accepted;
};

/// Outcome of an edit as an operator sees it.
enum class Verdict
{
  Accepted,
  Rejected,
  Unknown,
};

/// Makes edits one after the other. A step creates an edit, merges it, or writes the merged
/// document to the store.
class Operator
{
public:
  Operator(std::string aName, std::vector<std::vector<Change>> aEdits)
    : m_name(std::move(aName))
    , m_remainingEdits(std::move(aEdits))
  {
  }

  bool Done() const { return m_remainingEdits.empty() && !m_edit; }

  void TakeStep(Store& aStore, Fault aFault)
  {
    if (Done()) {
      return;
    }
    if (!m_edit) {
      const std::string id = m_name + std::to_string(m_verdicts.size());
      m_edit = Edit{ id, aStore.m_value.m_generation, m_remainingEdits.back() };
      m_remainingEdits.pop_back();
      m_sent = false;
    } else if (!m_pending) {
      Merge(aStore);
    } else {
      Write(aStore, aFault);
    }
  }

  std::map<std::string, Verdict> m_verdicts;

private:
  void Merge(const Store& aStore)
  {
    const EditContext context{ m_name, {}, m_name, std::to_string(++m_nonce) };
    MergeResult result = EditMerger::Merge(aStore.m_value, *m_edit, context);
    if (result.m_outcome == MergeOutcome::Accepted) {
      m_pending = std::move(result.m_document);
      m_version = aStore.m_version;
      return;
    }
    const EditStatus status =
      EditMerger::StatusOf(aStore.m_value, m_edit->m_id, m_edit->m_baseGeneration);
    if (result.m_outcome == MergeOutcome::AlreadyAccepted) {
      JAYLANE_REQUIRE(m_sent && status == EditStatus::Accepted);
      Finish(Verdict::Accepted);
    } else {
      const bool tooOld = result.m_code == SettingsErrc::BaseTooOld;
      JAYLANE_REQUIRE(status == (tooOld ? EditStatus::Unknown : EditStatus::NotAccepted));
      Finish(tooOld && m_sent ? Verdict::Unknown : Verdict::Rejected);
    }
  }

  void Write(Store& aStore, Fault aFault)
  {
    m_sent = true;
    const SettingsDocument value = *m_pending;
    m_pending.reset();
    if (aFault == RequestLost) {
      return;
    }
    if (aFault == Delayed) {
      aStore.m_delayedWrites.emplace_back(value, m_version);
      return;
    }
    const bool accepted = aStore.Put(value, m_version);
    if (accepted && aFault == None) {
      Finish(Verdict::Accepted);
    }
  }

  void Finish(Verdict aVerdict)
  {
    m_verdicts[m_edit->m_id] = aVerdict;
    m_edit.reset();
  }

  const std::string m_name;
  std::vector<std::vector<Change>> m_remainingEdits;
  std::optional<Edit> m_edit;
  std::optional<SettingsDocument> m_pending;
  std::uint64_t m_version = 0;
  bool m_sent = false;
  int m_nonce = 0;
};

rc::Gen<Change> AnyChange()
{
  const std::vector<std::string> keys{ "shift_total_cap_percent",
                                       "shift_planned_part_percent",
                                       "shift_failover_part_percent",
                                       "retry_attempts" };
  return rc::gen::apply(
    [](std::string aPath, std::string aKey, int aValue) {
      // Some values are out of range or contradict others, so that some merges are rejected.
      return Change{ aPath, aKey, aValue == 0 ? std::nullopt : std::optional(Json::Value(aValue)) };
    },
    rc::gen::element<std::string>("/", "/north", "/north/tables"),
    rc::gen::elementOf(keys),
    rc::gen::inRange(0, 8));
}

/// Checks the accepted edits in order, and compares them with the final tree and with the
/// operators' verdicts.
void CheckConsistency(const Store& aStore, const std::map<std::string, Verdict>& aVerdicts)
{
  std::map<std::pair<std::string, std::string>, HistoryEntry> lastChange;
  SettingsTree expected = *SettingsTree::ParseYaml(kSampleTree, "t");
  std::set<std::string> ids;
  std::uint64_t generation = 0;
  for (const HistoryEntry& entry : aStore.m_accepted) {
    JAYLANE_REQUIRE(entry.m_generation == ++generation);
    JAYLANE_REQUIRE(ids.insert(entry.m_edit.m_id).second);
    for (const Change& change : entry.m_edit.m_changes) {
      const auto key = std::make_pair(change.m_path, change.m_key);
      if (auto earlier = lastChange.find(key); earlier != lastChange.end()) {
        JAYLANE_REQUIRE(entry.m_edit.m_baseGeneration >= earlier->second.m_generation);
      }
      lastChange[key] = entry;
    }
    expected = *expected.WithChanges(entry.m_edit.m_changes);
  }
  JAYLANE_REQUIRE(aStore.m_value.m_generation == generation);
  JAYLANE_REQUIRE(aStore.m_value.m_tree == expected);
  for (const auto& [id, verdict] : aVerdicts) {
    JAYLANE_REQUIRE(verdict == Verdict::Unknown ||
                    (verdict == Verdict::Accepted) == ids.contains(id));
  }
}

/// Runs several operators against one store and checks the result.
/// @param aEdits changes of each edit, by operator.
/// @param aSchedule operator of each step and fault of its write; one number beyond the operators
/// delivers a delayed write. Afterwards all operators finish without faults.
/// @return number of accepted edits.
std::size_t RunRace(const std::vector<std::vector<std::vector<Change>>>& aEdits,
                    const std::vector<std::pair<int, int>>& aSchedule)
{
  Store store;
  std::vector<Operator> operators;
  for (std::size_t i = 0; i < aEdits.size(); ++i) {
    operators.emplace_back(std::string(1, static_cast<char>('a' + i)), aEdits[i]);
  }
  for (const auto& [who, fault] : aSchedule) {
    const std::size_t index = static_cast<std::size_t>(who) % (operators.size() + 1);
    if (index == operators.size()) {
      store.ApplyDelayedWrite();
    } else {
      operators[index].TakeStep(store, static_cast<Fault>(fault));
    }
  }
  std::map<std::string, Verdict> verdicts;
  for (Operator& each : operators) {
    while (!each.Done()) {
      each.TakeStep(store, None);
    }
    verdicts.insert(each.m_verdicts.begin(), each.m_verdicts.end());
  }
  while (!store.m_delayedWrites.empty()) {
    store.ApplyDelayedWrite();
  }
  CheckConsistency(store, verdicts);
  return store.m_accepted.size();
}

rc::Gen<std::vector<std::pair<int, int>>> AnySchedule()
{
  return rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, int(FaultCount))));
}

// Guards against edits that are lost, applied twice or overwritten without a conflict when several
// operators edit concurrently, requests or responses are lost, writes are delayed and operators
// retry.
TEST(EditRaceTest, NoAcceptedEditIsLost)
{
  std::size_t accepted = 0;
  std::size_t races = 0;
  EXPECT_TRUE(rc::check("no accepted edit is lost", [&] {
    const auto operators = *rc::gen::inRange<std::size_t>(2, 5);
    const auto edit = rc::gen::nonEmpty(rc::gen::uniqueBy<std::vector<Change>>(
      AnyChange(), [](const Change& aChange) { return aChange.m_path + aChange.m_key; }));
    const auto edits = *rc::gen::container<std::vector<std::vector<std::vector<Change>>>>(
      operators, rc::gen::resize(8, rc::gen::container<std::vector<std::vector<Change>>>(edit)));
    accepted += RunRace(edits, *AnySchedule());
    ++races;
  }));
  EXPECT_GT(accepted, 2 * races) << "the races hardly accept any edit and thus check little";
}

// Guards against wrong verdicts when the history no longer contains all edits of the race. A
// verdict may be unknown then.
TEST(EditRaceTest, HistoryOverflowGivesNoWrongVerdict)
{
  for (const Fault fault : { RequestLost, ResponseLost, Delayed }) {
    for (int steps = 0; steps <= 180; steps += 12) {
      std::vector<std::vector<std::vector<Change>>> edits(2);
      edits[0] = { { { "/", "retry_attempts", Json::Value(3) } } };
      for (std::size_t i = 0; i < SettingsDocument::kMaxHistory + 5; ++i) {
        edits[1].push_back({ { "/south", "retry_attempts", Json::Value(1) } });
      }
      // The first operator's write is lost or delayed, then the other operator makes its edits.
      std::vector<std::pair<int, int>> schedule{ { 0, None }, { 0, None }, { 0, fault } };
      schedule.insert(schedule.end(), steps, { 1, None });
      EXPECT_NO_THROW(RunRace(edits, schedule)) << "fault " << fault << ", steps " << steps;
    }
  }
}

} // namespace
} // namespace jaylane::settings
