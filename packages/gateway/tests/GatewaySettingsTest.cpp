#include "jaylane/gateway/GatewaySettings.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

constexpr const char* kValid = R"(name: vm-1
zone: z1
region: r1
zones: {"z1":"r1","z2":"r2"}
caller_address: "10.0.0.1:80"
peer_address: "10.0.0.1:81"
store_address: "10.0.0.2:80"
seeds: ["10.0.0.3:90"]
stop_grace_seconds: 6
cold_factor: 1.5
)";

TEST(GatewaySettingsTest, ReadsKeysAndKeepsDefaults)
{
  const auto settings = GatewaySettings::Parse(kValid);
  ASSERT_TRUE(settings) << settings.GetError().Message();
  EXPECT_EQ(settings->m_zones.at("z2"), "r2");
  EXPECT_EQ(settings->m_stopGrace, std::chrono::seconds{ 6 });
  EXPECT_EQ(settings->m_retrySlack, 60);
}

TEST(GatewaySettingsTest, NamesTheKeyThatIsWrong)
{
  for (const auto& [text, key] : std::vector<std::pair<std::string, std::string>>{
         { "zone: z", "name" },
         { std::string{ kValid } + "max_descriptors: many\n", "max_descriptors" },
         { std::string{ kValid } + "lookup_lifetime_seconds: -1\n", "lookup_lifetime_seconds" } }) {
    const auto settings = GatewaySettings::Parse(text);
    ASSERT_FALSE(settings);
    EXPECT_NE(settings.GetError().Message().find(key), std::string::npos);
  }
}

// Guards against a VM that does not start because the platform scaled a limit to a fraction.
TEST(GatewaySettingsTest, LimitsMayBeFractions)
{
  const auto settings =
    GatewaySettings::Parse(std::string{ kValid } + "retry_slack: 30.714285714285715\n"
                                                   "cold_slack: 0.714\n"
                                                   "cores: 2\n"
                                                   "core_share: 0.1\n"
                                                   "max_descriptors: 292.86\n"
                                                   "memory_mb: 36.5\n"
                                                   "drain_ms: 2500.5\n"
                                                   "heartbeat_ms: 750.5\n"
                                                   "retry_window_seconds: 0.7\n");
  ASSERT_TRUE(settings) << settings.GetError().Message();
  EXPECT_NEAR(settings->m_retrySlack, 30.714, 0.001);
  EXPECT_NEAR(settings->m_coldSlack, 0.714, 0.0001);
  EXPECT_NEAR(settings->m_cores, 0.2, 1e-9);
  EXPECT_EQ(settings->m_maxDescriptors, 292U);
  EXPECT_EQ(settings->m_heartbeat, std::chrono::milliseconds{ 750 });
}

TEST(GatewaySettingsTest, RejectsNegativeLimits)
{
  for (const char* key : { "retry_slack", "retry_share", "cold_slack", "max_descriptors" }) {
    const auto settings = GatewaySettings::Parse(std::string{ kValid } + key + ": -1\n");
    ASSERT_FALSE(settings) << key;
    EXPECT_NE(settings.GetError().Message().find(key), std::string::npos);
  }
}

// Guards against a file of nested aliases that expands to gigabytes.
TEST(GatewaySettingsTest, RejectsAliasesAndLargeFiles)
{
  EXPECT_FALSE(GatewaySettings::Parse("a: &a [x]\nb: [*a, *a]\n"));
  EXPECT_FALSE(GatewaySettings::Parse(std::string(100'000, 'a')));
  EXPECT_FALSE(GatewaySettings::Parse("- 1\n"));
  EXPECT_FALSE(GatewaySettings::Parse("a: [\n"));
}

} // namespace
} // namespace jaylane::gateway
