#include "jaylane/settings/SettingsReference.h"
#include "jaylane/settings/SettingsTree.h"
#include "jaylane/settings/VmSettings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace jaylane::settings {
namespace {

const std::string kRoot = JAYLANE_SOURCE_DIR;

SettingsTree Load(const std::string& aName)
{
  const auto tree = SettingsTree::LoadYaml(kRoot + "/examples/" + aName + "/tree.yaml");
  EXPECT_TRUE(tree) << ToString(tree.m_diagnostics);
  EXPECT_TRUE(tree.m_diagnostics.empty()) << ToString(tree.m_diagnostics);
  return tree.m_value.value_or(SettingsTree());
}

// Guards against examples that do not load, or that lack regions, zones, services or links of the
// deployment they describe.
TEST(ExamplesTest, TreesDescribeTheDeployments)
{
  for (const char* name : { "inyenyeri", "hormas" }) {
    const SettingsTree tree = Load(name);
    EXPECT_EQ(tree.Regions().size(), 3u);
    EXPECT_EQ(tree.Services().size(), 4u);
    EXPECT_EQ(tree.Links().size(), 6u);
    for (const Region& region : tree.Regions()) {
      EXPECT_EQ(region.m_zones.size(), 2u);
    }
  }
  using namespace std::chrono_literals;
  EXPECT_EQ(Load("inyenyeri").FindLink("kigali", "huye")->m_oneWayDelay, 20ms);
  EXPECT_EQ(Load("hormas").FindLink("salto", "montevideo")->m_rateMbitPerSecond, 300u);
}

// Guards against examples that lose what the two deployments differ in: Inyenyeri prefers low
// latency, Hormas prefers headroom and has less link capacity for bulk transfers.
TEST(ExamplesTest, InyenyeriWeighsLatencyAndHormasHeadroom)
{
  const EffectiveSettings inyenyeri = *Load("inyenyeri").EffectiveAt("/");
  const EffectiveSettings hormas = *Load("hormas").EffectiveAt("/");
  EXPECT_GT(inyenyeri.m_latencyWeightPercent, 50u);
  EXPECT_LT(hormas.m_latencyWeightPercent, 50u);
  EXPECT_LT(hormas.m_linkBulkPercent, inyenyeri.m_linkBulkPercent);
}

// Guards against example VM files that do not load, or whose zone the tree does not contain.
TEST(ExamplesTest, VmFilesMatchTheTrees)
{
  for (const std::string name : { "inyenyeri", "hormas" }) {
    const auto vm = VmSettings::LoadYaml(kRoot + "/examples/" + name + "/vm.yaml");
    ASSERT_TRUE(vm) << ToString(vm.m_diagnostics);
    Json::Value value = 1;
    EXPECT_TRUE(Load(name).WithChanges(
      { { "/" + vm->m_region + "/" + Load(name).Services()[0].m_name + "/" + vm->m_zone,
          "retry_attempts",
          value } }));
  }
}

// Guards against a reference page that differs from the key tables in the code.
TEST(ExamplesTest, ReferencePageIsCurrent)
{
  std::ifstream file(kRoot + "/docs/settings.md");
  std::ostringstream text;
  text << file.rdbuf();
  EXPECT_EQ(text.str(), SettingsReference())
    << "regenerate with: jaylanectl reference > docs/settings.md";
}

} // namespace
} // namespace jaylane::settings
