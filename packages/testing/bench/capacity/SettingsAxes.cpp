#include "CapacityReport.h"

#include "AllocationCount.h"
#include "jaylane/settings/EditMerger.h"

#include <fmt/format.h>

namespace jaylane::testing {

namespace {

constexpr int kRegions = 14;
constexpr int kZones = 43;

struct DocumentSize
{
  int m_blocks = 140;
  int m_services = 10;
  int m_zones = kZones;
};

void AddRegions(Json::Value& aJson, const DocumentSize& aSize)
{
  for (int i = 0; i < kRegions; ++i) {
    Json::Value region;
    region["name"] = fmt::format("region-{}", i);
    for (int zone = i; zone < aSize.m_zones; zone += kRegions) {
      region["zones"].append(fmt::format("zone-{}", zone));
    }
    aJson["regions"].append(region);
    for (int j = 0; j < kRegions; ++j) {
      if (i != j) {
        Json::Value link;
        link["from"] = fmt::format("region-{}", i);
        link["to"] = fmt::format("region-{}", j);
        link["rate_mbit_s"] = 4000;
        link["one_way_delay_ms"] = 20;
        aJson["links"].append(link);
      }
    }
  }
}

settings::SettingsDocument MakeDocument(const DocumentSize& aSize)
{
  Json::Value json(Json::objectValue);
  AddRegions(json, aSize);
  for (int i = 0; i < aSize.m_blocks; ++i) {
    Json::Value block;
    block["prefix"] = fmt::format("{}.{}.{}.0/24", 10 + i / 65536, i / 256 % 256, i % 256);
    block["region"] = fmt::format("region-{}", i % kRegions);
    json["client_blocks"].append(block);
  }
  for (int i = 0; i < aSize.m_services; ++i) {
    Json::Value service;
    service["name"] = fmt::format("service-{}", i);
    json["services"].append(service);
    for (int region = 0; region < kRegions; ++region) {
      json["nodes"][fmt::format("/region-{}/service-{}", region, i)]["retry_attempts"] = 2;
    }
  }
  settings::SettingsDocument document;
  const auto tree = settings::SettingsTree::FromJson(json);
  if (!tree) {
    fmt::print(stderr, "{}\n", settings::ToString(tree.m_diagnostics));
    std::abort();
  }
  document.m_tree = *tree;
  return document;
}

CapacityPoint MeasureDocument(double aAxisValue, const DocumentSize& aSize)
{
  const auto before = policy::AllocatedBytes();
  const auto document = MakeDocument(aSize);
  const auto bytes = static_cast<double>(policy::AllocatedBytes()) - static_cast<double>(before);
  const std::string text = document.Serialize();
  const double parse = CpuMicrosPerCall([&] { (void)settings::SettingsDocument::Parse(text); });
  const settings::Edit edit{ "e", 0, { { "/region-0", "retry_attempts", Json::Value(2) } } };
  const double merge = CpuMicrosPerCall([&] {
    (void)settings::EditMerger::Merge(document, edit, { "ann", {}, "vm-1", "n" });
  });
  return { aAxisValue,
           { { "document bytes", static_cast<double>(text.size()) },
             { "state bytes", bytes },
             { "parse us", parse },
             { "merge us", merge } } };
}

CapacityPoint MeasureBlocks(int aBlocks)
{
  return MeasureDocument(aBlocks, { aBlocks, 10, kZones });
}

CapacityPoint MeasureServices(int aServices)
{
  return MeasureDocument(aServices, { 140, aServices, kZones });
}

CapacityPoint MeasureZones(int aZones)
{
  return MeasureDocument(aZones, { 140, 10, aZones });
}

} // namespace

void MeasureSettings(CapacityReport& aReport)
{
  aReport.Add(
    "settings: client blocks",
    { MeasureBlocks(140), MeasureBlocks(1'400), MeasureBlocks(5'600), MeasureBlocks(11'200) },
    1'100'000);
  aReport.Add(
    "settings: services", { MeasureServices(5), MeasureServices(20), MeasureServices(40) }, 40);
  aReport.Add("settings: zones", { MeasureZones(14), MeasureZones(28), MeasureZones(43) }, 43);
}

} // namespace jaylane::testing
