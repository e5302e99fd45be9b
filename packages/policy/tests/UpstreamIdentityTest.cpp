#include "jaylane/policy/UpstreamIdentity.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

// Guards against taking an upstream for the one that a request was meant for although it is not
// where that one was, and against the reverse when only its state has changed.
TEST(UpstreamIdentityTest, DiffersByPlaceAndIncarnationOnly)
{
  Upstream known;
  known.m_id = "u";
  known.m_service = "s";
  known.m_address = "127.0.0.1:1";
  known.m_zone = "z";
  known.m_region = "r";
  known.m_startedAtMs = 1;
  const UpstreamIdentity identity = UpstreamIdentity::Of(known);
  Upstream changed = known;
  changed.m_draining = true;
  changed.m_slots = 9;
  changed.m_coldRemaining = std::chrono::seconds{ 1 };
  changed.m_revision = 7;
  EXPECT_EQ(UpstreamIdentity::Of(changed), identity);
  EXPECT_TRUE(UpstreamIdentity::IsSame(changed, known));
  for (std::string Upstream::*field : { &Upstream::m_id,
                                        &Upstream::m_service,
                                        &Upstream::m_address,
                                        &Upstream::m_zone,
                                        &Upstream::m_region }) {
    changed = known;
    changed.*field = "other";
    EXPECT_NE(UpstreamIdentity::Of(changed), identity);
    EXPECT_FALSE(UpstreamIdentity::IsSame(changed, known));
  }
  changed = known;
  changed.m_startedAtMs = 2;
  EXPECT_NE(UpstreamIdentity::Of(changed), identity);
  EXPECT_FALSE(UpstreamIdentity::IsSame(changed, known));
}

} // namespace
} // namespace jaylane::policy
