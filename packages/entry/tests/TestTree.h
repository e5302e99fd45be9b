#pragma once

#include "jaylane/settings/SettingsDocument.h"

#include <string>

namespace jaylane::entry {

/// Two regions with a zone each; service "svc" is not idempotent, "reads" is.
inline constexpr const char* kTestTree = R"(
regions:
  - { name: east, zones: [east-a] }
  - { name: west, zones: [west-a] }
services:
  - { name: svc, idempotent_by_default: false, bulk: false }
  - { name: reads, idempotent_by_default: true, bulk: false }
links:
  - { from: east, to: west, rate_mbit_s: 100, one_way_delay_ms: 5 }
  - { from: west, to: east, rate_mbit_s: 100, one_way_delay_ms: 5 }
client_blocks:
  - { prefix: 10.1.0.0/16, region: east }
  - { prefix: 10.2.0.0/16, region: west }
laws:
  - id: stay-west
    service: svc
    origin_region: west
    allowed_regions: [west]
    effective_at: "2020-01-01T00:00:00Z"
drains: []
nodes:
  /: { request_timeout_ms: 5000 }
)";

/// @return value of the object settings/tree.
inline std::string TestDocument(std::uint64_t aGeneration)
{
  const auto tree = settings::SettingsTree::ParseYaml(kTestTree, "test.yaml");
  settings::SettingsDocument document;
  document.m_generation = aGeneration;
  document.m_tree = *tree;
  return document.Serialize();
}

} // namespace jaylane::entry
