#include "jaylane/ctl/Ctl.h"

#include "FakeVms.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <json/reader.h>
#include <sstream>

namespace jaylane::ctl {
namespace {

constexpr const char* kTree = R"(regions:
  - { name: north, zones: [north-a] }
services:
  - { name: tables }
nodes:
  /: { retry_attempts: 2 }
)";

class CtlTest : public ::testing::Test
{
protected:
  CtlTest()
  {
    m_vms.m_document.m_generation = 5;
    m_vms.m_document.m_tree = *settings::SettingsTree::ParseYaml(kTree, "t");
    m_vms.m_vms["a:1"].m_id = "vm-a";
    m_vms.m_vms["b:1"].m_id = "vm-b";
  }

  ~CtlTest() override { std::filesystem::remove(m_file); }

  ExitCode Run(const std::vector<std::string>& aArguments, CtlOptions aOptions = {})
  {
    m_out.str({});
    m_err.str({});
    Fleet fleet(m_vms, { "a:1", "b:1" });
    auto sleep = [this](std::chrono::milliseconds aTime) {
      m_clock.Advance(aTime);
      if (m_onSleep) {
        m_onSleep();
      }
    };
    auto newId = [this] { return "id-" + std::to_string(++m_ids); };
    CtlContext context{ fleet, aOptions, m_out, m_err, m_clock, sleep, newId };
    return RunCommand(aArguments, context);
  }

  std::string WriteFile(const std::string& aText)
  {
    std::ofstream(m_file) << aText;
    return m_file;
  }

  void ExpectOutput(const std::string& aPart)
  {
    const std::string text = m_out.str() + m_err.str();
    EXPECT_NE(text.find(aPart), std::string::npos) << aPart << "\nin\n" << text;
  }

  std::uint32_t EffectiveRetryAttempts() const
  {
    return m_vms.m_document.m_tree.EffectiveAt("/")->m_retryAttempts;
  }

  FakeVms m_vms;
  base::ManualClock m_clock;
  std::function<void()> m_onSleep;
  std::ostringstream m_out;
  std::ostringstream m_err;
  int m_ids = 0;
  const std::string m_file = ::testing::TempDir() + "jaylanectl-" +
                             ::testing::UnitTest::GetInstance()->current_test_info()->name();
};

// Guards against edits that are not sent, and against sending values with the wrong type.
TEST_F(CtlTest, SetsAndUnsets)
{
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Ok);
  ExpectOutput("accepted: generation 6");
  EXPECT_EQ(EffectiveRetryAttempts(), 3u);
  EXPECT_EQ(Run({ "set", "/", "health_path", "/ready" }), ExitCode::Ok);
  EXPECT_EQ(Run({ "unset", "/", "retry_attempts" }), ExitCode::Ok);
  EXPECT_FALSE(m_vms.m_document.m_tree.Find("/", "retry_attempts"));
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "null" }), ExitCode::Usage);
}

// Guards against giving up after the first VM that is down or cannot reach the store.
TEST_F(CtlTest, TriesTheNextVm)
{
  m_vms.m_vms["a:1"].m_getFault = Fault::NotSent;
  m_vms.m_vms["a:1"].m_postFaults = { Fault::StoreUnavailable };
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Ok);
  EXPECT_EQ(m_vms.m_requests.back(), "b:1 POST /v1/edits");
}

// Guards against applying an edit twice when it is retried after a lost response.
TEST_F(CtlTest, RetriesWithTheSameIdAfterLostResponse)
{
  m_vms.m_vms["a:1"].m_postFaults = { Fault::ResponseLost };
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Ok);
  ExpectOutput("accepted: generation 6");
  EXPECT_EQ(m_vms.m_document.m_generation, 6u);
}

// Guards against reporting "unknown" for an edit whose status can be queried.
TEST_F(CtlTest, QueriesStatusBeforeReportingUnknown)
{
  for (auto& [address, vm] : m_vms.m_vms) {
    vm.m_postFaults = { Fault::ResponseLost, Fault::ResponseLost };
  }
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Ok);
  EXPECT_EQ(m_vms.m_requests.back(), "a:1 GET /v1/edits/id-1?base_generation=5");
  EXPECT_EQ(m_vms.m_document.m_generation, 6u);
}

// Guards against reporting "rejected" or "accepted" while an attempt may still be in progress, and
// against an unknown outcome that cannot be queried later.
TEST_F(CtlTest, UnknownOutcomeCanBeQueriedAgain)
{
  for (auto& [address, vm] : m_vms.m_vms) {
    vm.m_postFaults = { Fault::RequestLost, Fault::RequestLost };
  }
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Unknown);
  ExpectOutput("unknown: not accepted so far, but an attempt may still be in progress");
  ExpectOutput("--edit_id=id-1 --base_generation=5");
  CtlOptions again;
  again.m_editId = "id-1";
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }, again), ExitCode::Usage);
  again.m_baseGeneration = 5;
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }, again), ExitCode::Ok);
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }, again), ExitCode::Ok);
  EXPECT_EQ(m_vms.m_document.m_generation, 6u);
}

// Guards against reporting "rejected" while an earlier attempt without a response may still be
// accepted.
TEST_F(CtlTest, QueriesStatusIfRejectionFollowsLostAttempt)
{
  m_vms.m_vms["a:1"].m_postFaults = { Fault::RequestLost };
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "99" }), ExitCode::Unknown);
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "99" }), ExitCode::Rejected);
}

// Guards against reporting any other outcome for an edit that no VM received.
TEST_F(CtlTest, ReportsUnreachable)
{
  for (auto& [address, vm] : m_vms.m_vms) {
    vm.m_postFaults = { Fault::StoreUnavailable, Fault::NotSent };
  }
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }), ExitCode::Unreachable);
  ExpectOutput("not sent: b:1: no connection");
  m_vms.m_vms.clear();
  EXPECT_EQ(Run({ "get", "/" }), ExitCode::Unreachable);
}

// Guards against a conflict message that does not show whose value would be overwritten.
TEST_F(CtlTest, ConflictShowsBothValues)
{
  m_vms.EditBy("bob", { "/", "retry_attempts", Json::Value(4) });
  CtlOptions options;
  options.m_baseGeneration = 5;
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }, options), ExitCode::Rejected);
  ExpectOutput("rejected: conflict");
  ExpectOutput("yours:  3");
  ExpectOutput("theirs: 4 by bob");
  EXPECT_EQ(Run({ "plan", "set", "/", "retry_attempts", "3" }, options), ExitCode::Rejected);
  EXPECT_EQ(EffectiveRetryAttempts(), 4u);
}

// Guards against applying a file that silently reverts what someone else changed after its export.
TEST_F(CtlTest, AppliesExportedFile)
{
  ASSERT_EQ(Run({ "get" }), ExitCode::Ok);
  std::string exported = m_out.str();
  const std::string file = WriteFile(exported);
  EXPECT_EQ(Run({ "apply", file }), ExitCode::Ok);
  ExpectOutput("no change");
  m_vms.EditBy("bob", { "/", "retry_attempts", Json::Value(4) });
  EXPECT_EQ(Run({ "apply", file }), ExitCode::Rejected);
  ExpectOutput("theirs: 4 by bob");
  ASSERT_EQ(Run({ "get" }), ExitCode::Ok);
  exported = m_out.str();
  exported.replace(exported.find("retry_attempts: 4"), 17, "retry_attempts: 1");
  WriteFile(exported);
  EXPECT_EQ(Run({ "diff", file }), ExitCode::Ok);
  ExpectOutput("/ retry_attempts: 4 -> 1");
  EXPECT_EQ(Run({ "plan", file }), ExitCode::Ok);
  ExpectOutput("/north/tables/north-a retry_attempts: 4 -> 1");
  EXPECT_EQ(Run({ "apply", file }), ExitCode::Ok);
  EXPECT_EQ(EffectiveRetryAttempts(), 1u);
}

// Guards against reporting an edit as in effect while a live VM has an older generation, and
// against waiting for a VM that is leaving.
TEST_F(CtlTest, WaitReportsVmsThatLag)
{
  m_vms.m_vms["a:1"].m_inEffect = 6;
  m_vms.m_vms["c:1"].m_id = "vm-c";
  m_vms.m_vms["c:1"].m_state = "leaving";
  CtlOptions options;
  options.m_wait = true;
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "3" }, options), ExitCode::NotInEffect);
  ExpectOutput("generation 6 not in effect: vm-b");
  EXPECT_EQ(m_err.str().find("vm-a"), std::string::npos);
  EXPECT_EQ(m_err.str().find("vm-c"), std::string::npos);
  m_onSleep = [this] { m_vms.m_vms["a:1"].m_inEffect = m_vms.m_vms["b:1"].m_inEffect = 7; };
  EXPECT_EQ(Run({ "set", "/", "retry_attempts", "2" }, options), ExitCode::Ok);
  ExpectOutput("in effect on every live VM: generation 7");
}

// Guards against read commands that print values of the wrong node or omit where a value is
// inherited from.
TEST_F(CtlTest, ReadCommandsPrintValuesAndOrigins)
{
  EXPECT_EQ(Run({ "get", "/", "retry_attempts" }), ExitCode::Ok);
  ExpectOutput("retry_attempts                 2");
  EXPECT_EQ(Run({ "get", "/north", "retry_attempts" }), ExitCode::Rejected);
  CtlOptions effective;
  effective.m_effective = true;
  EXPECT_EQ(Run({ "get", "/north", "retry_attempts" }, effective), ExitCode::Ok);
  ExpectOutput("retry_attempts                 2            from /\n");
  EXPECT_EQ(Run({ "get", "north" }, effective), ExitCode::Rejected);
  m_vms.EditBy("bob", { "/", "retry_attempts", std::nullopt });
  EXPECT_EQ(Run({ "history" }), ExitCode::Ok);
  ExpectOutput("bob / retry_attempts = (unset)");
  m_vms.m_vms["b:1"].m_getFault = Fault::RequestLost;
  EXPECT_EQ(Run({ "status" }), ExitCode::Ok);
  ExpectOutput("(no response: timeout)");
}

// Guards against draining the wrong target, and against drains that cannot be undone.
TEST_F(CtlTest, DrainsAndUndrains)
{
  EXPECT_EQ(Run({ "drain", "north/north-a" }), ExitCode::Ok);
  ASSERT_EQ(m_vms.m_document.m_tree.Drains().size(), 1u);
  EXPECT_EQ(Run({ "drain", "south/south-a" }), ExitCode::Rejected);
  ExpectOutput("expected a known site");
  EXPECT_EQ(Run({ "undrain", "north/north-a" }), ExitCode::Ok);
  EXPECT_TRUE(m_vms.m_document.m_tree.Drains().empty());
  EXPECT_EQ(Run({ "drain", "upstream:up-7" }), ExitCode::Ok);
}

// Guards against a check that needs a VM or accepts an invalid file.
TEST_F(CtlTest, ChecksFilesOffline)
{
  m_vms.m_vms.clear();
  EXPECT_EQ(Run({ "check", WriteFile(kTree) }), ExitCode::Ok);
  CtlOptions check;
  check.m_check = true;
  EXPECT_EQ(Run({ "apply", WriteFile("nodes: { /: { a: 1 } }\n") }, check), ExitCode::InvalidFile);
  ExpectOutput(":1: error: / a: expected a known key");
  EXPECT_EQ(Run({ "check", WriteFile("id: vm\n") }), ExitCode::InvalidFile);
  ExpectOutput("region: expected a name");
  EXPECT_EQ(Run({ "check", m_file + "-absent" }), ExitCode::InvalidFile);
  EXPECT_TRUE(m_vms.m_requests.empty());
}

// Guards against events that are out of order, lost between pages, or omitted without a warning,
// and against texts from VMs that reach HTML or the terminal unescaped.
TEST_F(CtlTest, MergesTimelines)
{
  auto event = [](const char* aStamp, int aSequence, const char* aVm, const char* aKind) {
    Json::Value json(Json::objectValue);
    json["stamp"] = aStamp;
    json["sequence"] = aSequence;
    json["process"] = aVm;
    json["kind"] = aKind;
    json["fields"]["text"] = "<script>alert('x')</script>\x1b[2J";
    return json;
  };
  m_vms.m_vms["a:1"].m_events = { event("1000.0", 1, "vm-a", "shift"),
                                  event("1000.2", 2, "vm-a", "drain"),
                                  event("3000.0", 3, "vm-a", "\"><b>") };
  m_vms.m_vms["b:1"].m_events = { event("1000.1", 1, "vm-b", "drain") };
  m_vms.m_vms["c:1"].m_id = "vm-c";
  m_vms.m_vms["c:1"].m_getFault = Fault::RequestLost;
  CtlOptions options;
  options.m_timelineFormat = "json";
  ASSERT_EQ(Run({ "timeline" }, options), ExitCode::Ok);
  ExpectOutput("the timeline lacks events of c:1");
  Json::Value json;
  std::istringstream stream(m_out.str());
  stream >> json;
  ASSERT_EQ(json["events"].size(), 4u);
  EXPECT_EQ(json["events"][1]["vm"], "vm-b");
  EXPECT_EQ(json["events"][2]["stamp"], "1000.2");

  options.m_timelineFormat = "html";
  ASSERT_EQ(Run({ "timeline" }, options), ExitCode::Ok);
  ExpectOutput("<th>vm-a</th><th>vm-b</th>");
  ExpectOutput("data-kind=\"&quot;&gt;&lt;b&gt;\"");
  EXPECT_EQ(m_out.str().find("<script>alert"), std::string::npos);
  EXPECT_EQ(m_out.str().find("src="), std::string::npos) << "refers to another file";

  options.m_timelineFormat = "text";
  options.m_kinds = { "drain" };
  ASSERT_EQ(Run({ "timeline" }, options), ExitCode::Ok);
  ExpectOutput("1970-01-01T00:00:01.000Z vm-b drain");
  EXPECT_EQ(m_out.str().find("shift"), std::string::npos);
  EXPECT_EQ(m_out.str().find('\x1b'), std::string::npos);
}

// Guards against executing incomplete or unknown commands.
TEST_F(CtlTest, RejectsWrongUsage)
{
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{ {},
                                              { "frobnicate" },
                                              { "set", "/" },
                                              { "unset" },
                                              { "apply" },
                                              { "plan" },
                                              { "get", "/", "a", "b" },
                                              { "drain" } }) {
    EXPECT_EQ(Run(arguments), ExitCode::Usage);
  }
  EXPECT_TRUE(m_vms.m_requests.empty());
}

// Guards against a crash on a response whose members have undocumented types.
TEST_F(CtlTest, HandlesMalformedResponses)
{
  m_vms.m_vms["a:1"].m_events = { Json::Value(1), Json::Value("x") };
  EXPECT_EQ(Run({ "timeline" }), ExitCode::Ok);
  m_vms.m_vms.clear();
  struct MalformedClient final : AdminClient
  {
    AdminClientResponse Send(const std::string&, const AdminRequest&) override
    {
      AdminClientResponse response{ Delivery::Answered, 409, Json::objectValue, {} };
      response.m_body["error"]["code"] = "conflict";
      response.m_body["error"]["message"] = Json::arrayValue;
      return response;
    }
  } malformed;
  Fleet fleet(malformed, { "a:1" });
  CtlContext context{ fleet, {}, m_out, m_err, m_clock, {}, [] { return std::string("i"); } };
  EXPECT_EQ(RunCommand({ "get" }, context), ExitCode::Unknown);
}

} // namespace
} // namespace jaylane::ctl
