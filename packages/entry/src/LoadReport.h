#pragma once

#include "jaylane/base/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jaylane::entry {

/// Load caused by the callers of one origin region, as the mean number of slots in use.
struct OriginLoad
{
  double m_total = 0;
  /// Buckets with a load far above the mean; their load is part of the total.
  std::map<std::uint32_t, double> m_hotBuckets;
};

/// Measured load of a VM or of a zone, by service and origin region.
struct LoadReport
{
  std::map<std::string, std::map<std::string, OriginLoad>> m_services;

  /// Adds the loads of another report.
  void Add(const LoadReport& aOther);

  /// @return the report as JSON text.
  std::string ToText() const;

  /// @param aText form written by ToText().
  /// @return the report, or InvalidValue.
  static base::Result<LoadReport> Parse(std::string_view aText);
};

} // namespace jaylane::entry
