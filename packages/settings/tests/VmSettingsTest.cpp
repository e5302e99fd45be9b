#include "jaylane/settings/VmSettings.h"

#include <gtest/gtest.h>

namespace jaylane::settings {
namespace {

constexpr const char* kMinimal = R"(id: vm-1
region: kigali
zone: kigali-a
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: "[::1]:0"
store_urls: [http://127.0.0.1:9000]
peer_key: 0123456789abcdef
)";

// Guards against defaults that are not applied, and against parsing addresses incorrectly.
TEST(VmSettingsTest, ReadsMinimalFile)
{
  const auto settings = VmSettings::ParseYaml(kMinimal, "vm.yaml");
  ASSERT_TRUE(settings) << ToString(settings.m_diagnostics);
  EXPECT_EQ(settings->m_adminAddress.ToString(), "[::1]:0");
  EXPECT_EQ(settings->m_callerThreads, 2u);
  EXPECT_FALSE(settings->m_trustCallerHeader);
  EXPECT_EQ(settings->m_logLevel, base::LogLevel::Info);
}

// Guards against reporting only the first problem, and against wrong line numbers.
TEST(VmSettingsTest, ReportsAllProblemsWithLines)
{
  const std::string text = std::string(kMinimal) + R"(caller_threads: 0
admin_threads: many
log_lvel: info
trust_caller_header: yes
zone: kigali-b
admin_tokens:
  - name: ops
    token: short
    role: admin
)";
  const auto settings = VmSettings::ParseYaml(text, "vm.yaml");
  ASSERT_FALSE(settings);
  const std::string problems = ToString(settings.m_diagnostics);
  for (const char* expected :
       { "vm.yaml:9: error: caller_threads: expected a whole number from 1 to 64, found 0",
         "vm.yaml:10: error: admin_threads: expected a whole number from 1 to 64, found \"many\"",
         "vm.yaml:11: error: log_lvel: expected a known key",
         "vm.yaml:12: error: trust_caller_header: expected true or false, found \"yes\"",
         "vm.yaml:13: error: zone: expected each key once",
         "vm.yaml:16: error: admin_tokens 0 token: expected at least 16 visible characters\n",
         "vm.yaml:17: error: admin_tokens 0 role: expected one of read, write" }) {
    EXPECT_NE(problems.find(expected), std::string::npos) << expected << "\nin\n" << problems;
  }
  EXPECT_EQ(settings.m_diagnostics.size(), 7u) << problems;
}

// Guards against accepting two listeners on one address, or tokens that share a name or a secret.
TEST(VmSettingsTest, ReportsContradictions)
{
  std::string text = kMinimal;
  text.replace(text.find("caller_address: 127.0.0.1:0"), 27, "caller_address: 127.0.0.1:8");
  text.replace(text.find("peer_address: 127.0.0.1:0"), 25, "peer_address: 127.0.0.1:8");
  text += R"(admin_tokens:
  - { name: a, token: aaaaaaaaaaaaaaaa, role: read }
  - { name: a, token: 0123456789abcdef, role: write }
)";
  const auto settings = VmSettings::ParseYaml(text, "vm.yaml");
  ASSERT_FALSE(settings);
  const std::string problems = ToString(settings.m_diagnostics);
  EXPECT_EQ(settings.m_diagnostics.size(), 3u) << problems;
  EXPECT_NE(problems.find("differs from peer_key"), std::string::npos) << problems;
  EXPECT_EQ(problems.find("0123456789abcdef"), std::string::npos) << "prints a secret";
}

// Guards against crashes on files that are not a mapping, are not YAML, or have an alias that
// refers to a node containing it.
TEST(VmSettingsTest, ReportsMalformedFiles)
{
  for (const char* text :
       { "", "[1, 2", "- 1", "just text", "{a: {b: c}, ? [x] : y}", "&a [*a]" }) {
    EXPECT_FALSE(VmSettings::ParseYaml(text, "vm.yaml")) << text;
  }
  EXPECT_FALSE(VmSettings::LoadYaml("/nonexistent/vm.yaml"));
}

// Guards against accepting addresses that cannot be bound.
TEST(VmSettingsTest, ParsesAddresses)
{
  for (const char* text :
       { "127.0.0.1", ":1", "host:80", "1.2.3.4:65536", "[::1]", "1.2.3.4:8x" }) {
    EXPECT_FALSE(HostPort::Parse(text)) << text;
  }
  EXPECT_EQ(HostPort::Parse("[::1]:80")->m_host, "::1");
}

} // namespace
} // namespace jaylane::settings
