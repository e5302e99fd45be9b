#include "jaylane/policy/UpstreamIdentity.h"

namespace jaylane::policy {

UpstreamIdentity UpstreamIdentity::Of(const Upstream& aEntry)
{
  return { aEntry.m_id,   aEntry.m_service, aEntry.m_address,
           aEntry.m_zone, aEntry.m_region,  aEntry.m_startedAtMs };
}

} // namespace jaylane::policy
