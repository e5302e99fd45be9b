#include "jaylane/policy/UpstreamIdentity.h"

#include <tuple>

namespace jaylane::policy {

namespace {

auto FieldsOf(const Upstream& aEntry)
{
  return std::tie(aEntry.m_id,
                  aEntry.m_service,
                  aEntry.m_address,
                  aEntry.m_zone,
                  aEntry.m_region,
                  aEntry.m_startedAtMs);
}

} // namespace

UpstreamIdentity UpstreamIdentity::Of(const Upstream& aEntry)
{
  return { aEntry.m_id,   aEntry.m_service, aEntry.m_address,
           aEntry.m_zone, aEntry.m_region,  aEntry.m_startedAtMs };
}

bool UpstreamIdentity::IsSame(const Upstream& aFirst, const Upstream& aSecond)
{
  return FieldsOf(aFirst) == FieldsOf(aSecond);
}

} // namespace jaylane::policy
