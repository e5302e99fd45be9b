#pragma once

namespace jaylane::settings {

/// YAML tree with two regions of one zone each and two services. Tests append further sections.
inline constexpr const char* kSampleTree = R"(regions:
  - { name: north, zones: [north-a] }
  - { name: south, zones: [south-a] }
services:
  - { name: tables, idempotent_by_default: true }
  - { name: orders }
links:
  - { from: north, to: south, rate_mbit_s: 100, one_way_delay_ms: 20.5 }
  - { from: south, to: north, rate_mbit_s: 100, one_way_delay_ms: 20 }
client_blocks:
  - { prefix: 10.1.0.0/16, region: north }
)";

} // namespace jaylane::settings
