#include "jaylane/testing/ProcessHarness.h"

#include "jaylane/testing/DeploymentHarness.h"
#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/RecordFile.h"
#include "jaylane/testing/TestingError.h"

#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/wait.h>

namespace jaylane::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 20'000 };

// Guards against records that are lost when an upstream crashes, and against leaked processes.
TEST(ProcessHarness, KeepsRecordOfCrashedUpstream)
{
  std::string records;
  pid_t id = 0;
  {
    auto harness = ProcessHarness::Make();
    ASSERT_TRUE(harness);
    records = (*harness)->PathOf("records");
    const std::string program = ProcessHarness::ProgramPath("upstream_standin");
    const auto process = (*harness)->Start("upstream", program, { "--records=" + records });
    ASSERT_TRUE(process);
    const auto line = (*process)->FirstLine(kTimeout);
    ASSERT_TRUE(line);
    const std::string url = "http://" + (*line)["address"].asString();
    EXPECT_FALSE(HttpGet(url + "/a", kTimeout, { "X-Test-Crash: 1", "X-Test-Id: a" }));
    const auto status = (*process)->Wait(kTimeout);
    ASSERT_TRUE(status);
    EXPECT_TRUE(WIFEXITED(*status));
    const auto lines = RecordFile::Read(records);
    ASSERT_TRUE(lines);
    ASSERT_EQ(lines->size(), 2u);
    EXPECT_EQ((*lines)[0]["event"], "started");
    EXPECT_EQ((*lines)[1]["event"], "start");
    EXPECT_EQ((*lines)[1]["id"], "a");
    const auto second = (*harness)->Start("second", program, {});
    ASSERT_TRUE(second);
    ASSERT_TRUE((*second)->FirstLine(kTimeout));
    id = (*second)->Id();
  }
  EXPECT_EQ(kill(id, 0), -1);
  EXPECT_FALSE(std::filesystem::exists(records));
}

// Guards against a harness that waits for programs that failed to start.
TEST(ProcessHarness, ReportsProgramsThatDoNotStart)
{
  auto harness = ProcessHarness::Make();
  ASSERT_TRUE(harness);
  EXPECT_EQ((*harness)->Start("none", "/nonexistent", {}).GetError().m_code,
            TestingErrc::StartFailed);
  const std::string program = ProcessHarness::ProgramPath("caller_load");
  const auto failing = (*harness)->Start("failing", program, {});
  ASSERT_TRUE(failing);
  EXPECT_EQ((*failing)->FirstLine(kTimeout).GetError().m_code, TestingErrc::StartFailed);
}

// Guards against a paused process that still responds or does not resume.
TEST(ProcessHarness, PausesAndResumes)
{
  auto harness = DeploymentHarness::Make();
  ASSERT_TRUE(harness);
  const std::string url = (*harness)->PlatformUrl() + "/v1/vms";
  (*harness)->Platform().Pause();
  EXPECT_FALSE(HttpGet(url, milliseconds{ 100 }));
  (*harness)->Platform().Resume();
  EXPECT_TRUE(HttpGet(url, kTimeout));
  (*harness)->Platform().Terminate();
  const auto status = (*harness)->Platform().Wait(kTimeout);
  ASSERT_TRUE(status);
  EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0);
}

} // namespace
} // namespace jaylane::testing
