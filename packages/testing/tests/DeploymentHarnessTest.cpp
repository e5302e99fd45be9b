#include "jaylane/testing/DeploymentHarness.h"

#include "jaylane/testing/HttpCall.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace jaylane::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 20'000 };

// Guards against upstreams that are missing in the platform's VM list or keep their incarnation
// across a restart.
TEST(DeploymentHarness, RegistersUpstreams)
{
  auto harness = DeploymentHarness::Make();
  ASSERT_TRUE(harness);
  DeploymentSpec spec;
  spec.m_zones = { { "huye", "huye-a" }, { "huye", "huye-b" } };
  spec.m_entryVmsPerZone = 0;
  spec.m_services = { { "tables-svc", 2, 4, milliseconds{ 1 }, {} } };
  spec.m_tree = "{}";
  const auto status = (*harness)->Start(spec);
  ASSERT_TRUE(status) << status.GetError().Message();
  platform::HttpStore store({ (*harness)->PlatformUrl() });
  ASSERT_TRUE((*harness)->SetState("tables-svc-huye-a-0", platform::VmState::Leaving));
  const auto vms = store.ListVms(kTimeout);
  ASSERT_TRUE(vms);
  EXPECT_EQ(vms->m_vms.size(), 4u);
  EXPECT_EQ(*vms, (*harness)->Vms());
  EXPECT_TRUE(store.Get("settings/tree", kTimeout));
  const std::string before = (*harness)->FindVm("tables-svc-huye-b-1")->m_incarnation;
  ASSERT_TRUE((*harness)->RestartUpstream("tables-svc-huye-b-1"));
  EXPECT_NE((*harness)->FindVm("tables-svc-huye-b-1")->m_incarnation, before);
}

// Guards against traffic between zones that bypasses the links, and against cuts of other links.
TEST(DeploymentHarness, LinksSeparateZones)
{
  auto harness = DeploymentHarness::Make();
  ASSERT_TRUE(harness);
  DeploymentSpec spec;
  spec.m_zones = { { "huye", "a" }, { "huye", "b" } };
  spec.m_entryVmsPerZone = 0;
  spec.m_services = { { "tables-svc", 1, 4, milliseconds{ 1 }, {} } };
  spec.m_links = true;
  const auto status = (*harness)->Start(spec);
  ASSERT_TRUE(status) << status.GetError().Message();
  DeploymentLinks& links = (*harness)->Links();
  platform::HttpStore store({ links.PlatformUrl("a") });
  const auto vms = store.ListVms(kTimeout);
  ASSERT_TRUE(vms);
  ASSERT_EQ(vms->m_vms.size(), 2u);
  const std::string own = "http://" + vms->m_vms[0].m_address + "/health";
  const std::string other = "http://" + vms->m_vms[1].m_address + "/health";
  EXPECT_EQ(vms->m_vms[0], (*harness)->Vms().m_vms[0]);
  EXPECT_NE(vms->m_vms[1], (*harness)->Vms().m_vms[1]);
  EXPECT_TRUE(HttpGet(other, kTimeout));
  links.Between("a", "b").SetConditions({ true, milliseconds{ 0 }, 0 });
  EXPECT_FALSE(HttpGet(other, milliseconds{ 100 }));
  EXPECT_TRUE(HttpGet(own, kTimeout));
  EXPECT_TRUE(store.ListVms(kTimeout));
  links.ToPlatform("a").SetConditions({ true, milliseconds{ 0 }, 0 });
  EXPECT_FALSE(store.ListVms(milliseconds{ 100 }));
  platform::HttpStore direct({ links.PlatformUrl("b") });
  EXPECT_TRUE(direct.ListVms(kTimeout));
}

// Guards against entry VMs that are missing in the VM list or keep their incarnation across a
// restart.
TEST(DeploymentHarness, StartsAndRestartsEntryVms)
{
  setenv("JAYLANE_ENTRY", ProcessHarness::ProgramPath("entry_stub").c_str(), 1);
  auto harness = DeploymentHarness::Make();
  ASSERT_TRUE(harness);
  DeploymentSpec spec;
  spec.m_zones = { { "huye", "a" } };
  spec.m_entryVmsPerZone = 2;
  const auto status = (*harness)->Start(spec);
  unsetenv("JAYLANE_ENTRY");
  ASSERT_TRUE(status) << status.GetError().Message();
  EXPECT_EQ((*harness)->EntryAddresses().size(), 2u);
  const auto* vm = (*harness)->FindVm("a-entry-1");
  ASSERT_TRUE(vm);
  EXPECT_EQ(vm->m_peerAddress, "127.0.0.1:2");
  EXPECT_EQ(vm->m_adminAddress, "127.0.0.1:3");
  const std::string before = vm->m_incarnation;
  (*harness)->FindProcess("a-entry-1")->Kill();
  EXPECT_EQ((*harness)->EntryAddresses().size(), 1u);
  setenv("JAYLANE_ENTRY", ProcessHarness::ProgramPath("entry_stub").c_str(), 1);
  ASSERT_TRUE((*harness)->RestartEntry("a-entry-1"));
  unsetenv("JAYLANE_ENTRY");
  EXPECT_NE((*harness)->FindVm("a-entry-1")->m_incarnation, before);
  EXPECT_EQ((*harness)->EntryAddresses().size(), 2u);
}

} // namespace
} // namespace jaylane::testing
