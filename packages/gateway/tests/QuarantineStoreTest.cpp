#include "QuarantineStore.h"

#include "TestStore.h"
#include "jaylane/base/JsonText.h"

#include <atomic>
#include <gtest/gtest.h>
#include <map>
#include <mutex>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using policy::QuarantineRecord;
using Verdict = QuarantineRecord::Verdict;

constexpr policy::RequestFingerprint kRequest{ 0xAB, 1 };
constexpr const char* kConvictedName = "00000000000000ab0000000000000001-convicted";

/// A store with objects of one kind, and a VM that reads and writes them.
class QuarantineStoreTest : public testing::Test
{
protected:
  void Start()
  {
    m_quarantines = std::make_unique<QuarantineStore>(
      m_io,
      m_store.Address(),
      m_dialect,
      m_clock,
      m_log,
      m_era,
      [this](QuarantineStore::Contents aRead) { m_contents = std::move(aRead); });
    m_quarantines->Start();
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    m_io.restart();
    m_io.run_for(aTime);
  }

  QuarantineRecord Convicted() const { return { kRequest, Verdict::Convicted, m_clock.Wall() }; }

  Script Serve(const SeenRequest& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    Script script = Respond(aRequest);
    script.m_bytes.insert(script.m_bytes.find("\r\n") + 2, fmt::format("Era: {}\r\n", m_storeEra));
    return script;
  }

  Script Respond(const SeenRequest& aRequest)
  {
    if (m_isAway) {
      return Text("503 Service Unavailable", "");
    }
    if (!m_knowsKind) {
      return Text("404 Not Found", "{}");
    }
    if (aRequest.m_head.starts_with("POST")) {
      const auto object = base::ParseJson(aRequest.m_body);
      const std::string name = (*object)["name"].asString();
      if (m_objects.contains(name)) {
        return Text("409 Conflict", Listed(name));
      }
      m_objects[name] = { ++m_revision, base::WriteJson((*object)["value"]) };
      return Text("201 Created", Listed(name));
    }
    if (aRequest.m_head.starts_with("DELETE")) {
      if (!m_knowsRemovals) {
        return Text("405 Method Not Allowed", "");
      }
      const std::size_t end = aRequest.m_head.find(" HTTP");
      const std::size_t name = aRequest.m_head.rfind('/', end) + 1;
      const std::size_t revision = aRequest.m_head.rfind('/', name - 2) + 1;
      const auto object = m_objects.find(aRequest.m_head.substr(name, end - name));
      if (object == m_objects.end() || std::to_string(object->second.first) !=
                                         aRequest.m_head.substr(revision, name - 1 - revision)) {
        return Text("409 Conflict", "{}");
      }
      m_objects.erase(object);
      return Text("200 OK", "{}");
    }
    return Text("200 OK", Listed({}));
  }

  /// @param aName the only object to list; all if empty.
  std::string Listed(const std::string& aName) const
  {
    std::string objects;
    for (const auto& [name, object] : m_objects) {
      if (aName.empty() || name == aName) {
        objects += fmt::format(R"({}{{"name":"{}","revision":{},"value":{}}})",
                               objects.empty() ? "" : ",",
                               name,
                               object.first,
                               object.second);
      }
    }
    return fmt::format(R"({{"revision":9,"objects":[{}]}})", objects);
  }

  /// @return value of a conviction of a given age.
  std::string ConvictionOf(std::chrono::minutes aAge) const
  {
    const auto writtenAt = std::chrono::duration_cast<std::chrono::milliseconds>(
      (m_clock.Wall() - aAge).time_since_epoch());
    return fmt::format(R"({{"format":1,"verdict":"convicted","written_ms":{}}})",
                       writtenAt.count());
  }

  void Put(const std::string& aName, const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_objects[aName] = { ++m_revision, aValue };
  }

  /// The store returns from a copy with one object at most, given by its name.
  void Restore(std::uint64_t aRevision, const std::string& aName, const std::string& aValue)
  {
    {
      const std::lock_guard lock(m_mutex);
      ++m_storeEra;
      m_objects.clear();
      m_revision = aRevision;
      if (!aName.empty()) {
        m_objects[aName] = { aRevision, aValue };
      }
    }
    m_era.ObserveAtPeer(m_storeEra);
  }

  std::size_t ObjectCount()
  {
    const std::lock_guard lock(m_mutex);
    return m_objects.size();
  }

  std::mutex m_mutex;
  bool m_isAway = false;
  bool m_knowsRemovals = true;
  bool m_knowsKind = true;
  std::uint64_t m_storeEra = 1;
  std::uint64_t m_revision = 5;
  /// Revisions and values by name.
  std::map<std::string, std::pair<std::uint64_t, std::string>> m_objects;
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) { return Serve(aRequest); } };
  TestDialect m_dialect;
  base::ManualClock m_clock;
  base::AsyncLog m_log{ "vm", base::SystemClock::Get(), { 64, 1000, [](std::string_view) {} } };
  boost::asio::io_context m_io;
  std::optional<QuarantineStore::Contents> m_contents;
  StoreEra m_era{ m_dialect, m_log, [this](std::uint64_t) { m_quarantines->OnStoreRestored(); } };
  std::unique_ptr<QuarantineStore> m_quarantines;
};

// Guards against a crashing request that is unknown again after a kill of all VMs.
TEST_F(QuarantineStoreTest, RecordsOutliveTheVms)
{
  Start();
  RunFor(100ms);
  ASSERT_TRUE(m_contents);
  EXPECT_TRUE(m_contents->m_records.empty());
  m_quarantines->Write({ Convicted() });
  RunFor(100ms);
  Start();
  RunFor(100ms);
  ASSERT_EQ(m_contents->m_records.size(), 1U);
  EXPECT_EQ(m_contents->m_records[0], Convicted());
}

// Guards against a record that is lost because the store is away when it is written, and against a
// VM that never reads because it is away at the start.
TEST_F(QuarantineStoreTest, WritesAndReadsOnceTheStoreIsBack)
{
  m_isAway = true;
  Start();
  RunFor(100ms);
  EXPECT_FALSE(m_contents);
  m_quarantines->Write({ Convicted() });
  RunFor(300ms);
  {
    const std::lock_guard lock(m_mutex);
    m_isAway = false;
  }
  RunFor(1500ms);
  EXPECT_TRUE(m_contents);
  EXPECT_EQ(ObjectCount(), 1U);
}

// Guards against calls without end, and a VM that waits, if the store does not know the records.
TEST_F(QuarantineStoreTest, AStoreThatDoesNotKnowTheRecordsHasNone)
{
  m_knowsKind = false;
  Start();
  m_quarantines->Write({ Convicted() });
  RunFor(1500ms);
  ASSERT_TRUE(m_contents);
  EXPECT_TRUE(m_contents->m_records.empty());
  EXPECT_EQ(m_store.Seen().size(), 2U) << "a list and a creation";
}

// Guards against calls without end when two VMs write the same record.
TEST_F(QuarantineStoreTest, ASecondWriterChangesNothing)
{
  Start();
  m_quarantines->Write({ Convicted() });
  m_quarantines->Write({ Convicted() });
  RunFor(300ms);
  EXPECT_EQ(ObjectCount(), 1U);
  EXPECT_EQ(m_store.Seen().size(), 3U) << "a list and two creations";
}

// Guards against a later conviction that is not recorded because an expired one is in its place,
// and against removing the new one with the old one.
TEST_F(QuarantineStoreTest, ReplacesAnExpiredRecord)
{
  for (const auto age : { 8min, 60min }) {
    for (const bool knowsRemovals : { true, false }) {
      m_knowsRemovals = knowsRemovals;
      Put(kConvictedName, ConvictionOf(age));
      Start();
      const std::size_t before = m_store.Seen().size();
      m_quarantines->Write({ Convicted() });
      RunFor(400ms);
      EXPECT_LE(m_store.Seen().size() - before, 5U) << "it gives up";
      Start();
      RunFor(100ms);
      EXPECT_EQ(m_contents->m_records.size(), knowsRemovals ? 1U : 0U) << age.count();
    }
  }
}

// Guards against records that pile up in the store.
TEST_F(QuarantineStoreTest, RemovesOrphans)
{
  Put(kConvictedName, ConvictionOf(60min));
  Put("other", R"({"format":2})");
  Start();
  RunFor(200ms);
  EXPECT_TRUE(m_contents->m_records.empty());
  EXPECT_EQ(ObjectCount(), 1U) << "what another version wrote stays";
}

// Guards against records that stay until all VMs have ended.
TEST_F(QuarantineStoreTest, RemovesItsRecordsWhenTheyExpire)
{
  Start();
  m_quarantines->Write({ Convicted() });
  RunFor(100ms);
  EXPECT_EQ(ObjectCount(), 1U);
  m_clock.Advance(6min);
  RunFor(5300ms);
  EXPECT_EQ(ObjectCount(), 0U);
}

// Guards against an odd object that costs the others.
TEST_F(QuarantineStoreTest, AnOddObjectCostsNoOther)
{
  Put(kConvictedName, ConvictionOf(1min));
  const std::string prefix(32, 'a');
  for (const char* value : { "null",
                             "[]",
                             "7",
                             R"({"format":1})",
                             R"({"format":"1","verdict":"convicted","written_ms":0})",
                             R"({"format":1,"verdict":"other","written_ms":0})",
                             R"({"format":1,"verdict":"convicted","written_ms":1e400})",
                             R"({"format":1,"verdict":"convicted","written_ms":9e18})",
                             R"({"format":1,"verdict":{},"written_ms":0})" }) {
    Put(prefix + "-convicted", value);
    Put("-lift", value);
    Put("x-lift", value);
    Start();
    RunFor(100ms);
    ASSERT_TRUE(m_contents) << value;
    EXPECT_EQ(m_contents->m_records.size(), 1U) << value;
    EXPECT_TRUE(m_contents->m_lifted.empty()) << value;
    m_contents.reset();
  }
}

TEST_F(QuarantineStoreTest, AnOperatorLiftsAQuarantineOnce)
{
  Put("00000000000000ab0000000000000001-lift", "{}");
  Start();
  RunFor(100ms);
  EXPECT_EQ(m_contents->m_lifted, std::vector{ kRequest });
  RunFor(5200ms);
  EXPECT_TRUE(m_contents->m_lifted.empty()) << "the second read";
}

// Guards against a crashing request that is unknown again after a return of the store from an older
// copy and a kill of all VMs.
TEST_F(QuarantineStoreTest, WritesItsRecordsAgainAfterAReturn)
{
  Start();
  m_quarantines->Write({ Convicted() });
  RunFor(100ms);
  ASSERT_EQ(ObjectCount(), 1U);
  Restore(2, {}, {});
  RunFor(100ms);
  EXPECT_EQ(ObjectCount(), 1U);
  m_clock.Advance(6min);
  RunFor(5300ms);
  EXPECT_EQ(ObjectCount(), 0U) << "by its revision of after the return";
}

// Guards against removing the record of another VM that has got the revision of this VM's anew.
TEST_F(QuarantineStoreTest, RemovesNoRecordOfAnotherEra)
{
  Start();
  m_quarantines->Write({ Convicted() });
  RunFor(100ms);
  m_clock.Advance(2min);
  Restore(6, kConvictedName, ConvictionOf(0min));
  m_clock.Advance(4min);
  RunFor(5300ms);
  EXPECT_EQ(ObjectCount(), 1U);
}

// Guards against a quarantine that ends because the copy has the lift of an earlier one, and
// against a lift that has no effect because its revision is low.
TEST_F(QuarantineStoreTest, ALiftOfTheCopyIsNoNewOne)
{
  const std::string lift = "00000000000000ab0000000000000001-lift";
  Put(lift, "{}");
  Start();
  RunFor(100ms);
  ASSERT_EQ(m_contents->m_lifted, std::vector{ kRequest });
  Restore(6, lift, "{}");
  RunFor(5200ms);
  EXPECT_TRUE(m_contents->m_lifted.empty());
  Start();
  RunFor(100ms);
  Restore(4, lift, "{}");
  RunFor(5200ms);
  EXPECT_EQ(m_contents->m_lifted, std::vector{ kRequest });
}

} // namespace
} // namespace jaylane::gateway
