#include "jaylane/policy/AddressClaims.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using Superseded = std::map<std::string, std::string>;

Upstream Entry(const std::string& aId, const std::string& aAddress, StoreRevision aRevision)
{
  Upstream upstream;
  upstream.m_id = aId;
  upstream.m_address = aAddress;
  upstream.m_revision = aRevision;
  return upstream;
}

// Replays the load pattern: "old" crashes, "new" registers with its address, and the store removes
// the entry of "old". Guards against requests to "new" that were meant for "old".
TEST(AddressClaimsTest, AnAddressIsPassedOnBeforeTheFormerEntryEnds)
{
  const Upstream old = Entry("old", "127.0.0.1:1", 10);
  const Upstream other = Entry("other", "127.0.0.1:2", 5);
  Upstream next = Entry("new", "127.0.0.1:1", 20);
  next.m_service = "t";
  next.m_region = "far";
  EXPECT_EQ(SupersededUpstreams({ &old, &other }), Superseded{});
  EXPECT_EQ(SupersededUpstreams({ &next, &old, &other }), (Superseded{ { "old", "new" } }));
  EXPECT_EQ(SupersededUpstreams({ &next, &other }), Superseded{});
}

// Guards against upstreams that stay out of use because of an entry with a wrong address.
TEST(AddressClaimsTest, AnUpstreamThatWritesAgainHasItsAddress)
{
  const Upstream wrong = Entry("wrong", "127.0.0.1:1", 20);
  EXPECT_EQ(SupersededUpstreams({ &wrong, &wrong }), Superseded{}) << "the same revision";
  const Upstream alive = Entry("alive", "127.0.0.1:1", 30);
  EXPECT_EQ(SupersededUpstreams({ &wrong, &alive }), (Superseded{ { "wrong", "alive" } }));
  const Upstream restored = Entry("wrong", "127.0.0.1:1", { 3, 2 });
  EXPECT_EQ(SupersededUpstreams({ &restored, &alive }), (Superseded{ { "alive", "wrong" } }))
    << "written in a later era of the store";
}

} // namespace
} // namespace jaylane::policy
