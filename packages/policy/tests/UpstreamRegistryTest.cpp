#include "jaylane/policy/UpstreamRegistry.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

Upstream Entry(const std::string& aId, StoreRevision aRevision, bool aIsDraining = false)
{
  Upstream upstream;
  upstream.m_id = aId;
  upstream.m_service = "s";
  upstream.m_revision = aRevision;
  upstream.m_draining = aIsDraining;
  return upstream;
}

class UpstreamRegistryTest : public testing::Test
{
protected:
  void FillWith(int aCount)
  {
    std::vector<Upstream> entries;
    for (int i = 0; i < aCount; ++i) {
      entries.push_back(Entry("u" + std::to_string(i), 10));
    }
    m_registry.Replace(std::move(entries), m_clock.Monotonic());
  }

  base::ManualClock m_clock;
  UpstreamRegistry m_registry{ {} };
};

TEST_F(UpstreamRegistryTest, RemovesAnEntryAtOnce)
{
  FillWith(3);
  m_registry.Remove("u0", 11, m_clock.Monotonic());
  EXPECT_EQ(m_registry.Records().size(), 2U);
}

// All registrations expire during an outage of the store. The upstreams must be kept until they had
// time to register again.
TEST_F(UpstreamRegistryTest, KeepsMissingEntriesShortlyAfterAnOutage)
{
  FillWith(3);
  m_registry.OnStoreRecovered(m_clock.Monotonic());
  m_registry.Replace({}, m_clock.Monotonic());
  EXPECT_EQ(m_registry.Records().size(), 3U);
  m_clock.Advance(1s);
  m_registry.Put(Entry("u1", 20), m_clock.Monotonic());
  m_clock.Advance(2s);
  EXPECT_TRUE(m_registry.RemoveExpired(m_clock.Monotonic()));
  ASSERT_EQ(m_registry.Records().size(), 1U);
  EXPECT_EQ(m_registry.Records().begin()->first, "u1");
}

// Guards against dropping upstreams whose registrations expired during an outage when a VM that
// reaches the store again a moment earlier tells of the removals.
TEST_F(UpstreamRegistryTest, KeepsMissingEntriesUntilThisVmReachesTheStoreAgain)
{
  FillWith(3);
  m_registry.OnStoreUnreachable();
  m_registry.Remove("u0", 11, m_clock.Monotonic());
  m_clock.Advance(600ms);
  m_registry.RemoveExpired(m_clock.Monotonic());
  EXPECT_TRUE(m_registry.Records().contains("u0"));
  m_registry.OnStoreRecovered(m_clock.Monotonic());
  m_clock.Advance(2s);
  m_registry.RemoveExpired(m_clock.Monotonic());
  EXPECT_TRUE(m_registry.Records().contains("u0")) << "may be renewed for two seconds";
  m_clock.Advance(1s);
  m_registry.RemoveExpired(m_clock.Monotonic());
  EXPECT_EQ(m_registry.Records().size(), 2U);
}

// A VM that stays cut off from the store learns of removals from its peers. Guards against keeping
// upstreams that have left for as long as the cut lasts.
TEST_F(UpstreamRegistryTest, RemovesEntriesDuringALongOutage)
{
  FillWith(3);
  m_registry.OnStoreUnreachable();
  m_clock.Advance(10s);
  m_registry.Remove("u0", 11, m_clock.Monotonic());
  m_clock.Advance(1s);
  EXPECT_TRUE(m_registry.RemoveExpired(m_clock.Monotonic()));
  EXPECT_EQ(m_registry.Records().size(), 2U);
}

// During an outage of the store an upstream ends, and its address goes to another one that cannot
// register. Guards against taking the entry for current before the other one could register.
TEST_F(UpstreamRegistryTest, EntriesMayBeOutdatedUntilAllHaveRegisteredAfterAnOutage)
{
  FillWith(3);
  const auto mayBeOutdated = [this](const std::string& aId) {
    return m_registry.MayBeOutdated(m_registry.Records().at(aId), m_clock.Monotonic());
  };
  EXPECT_FALSE(mayBeOutdated("u0"));
  m_registry.OnStoreUnreachable();
  EXPECT_TRUE(mayBeOutdated("u0"));
  m_registry.OnStoreRecovered(m_clock.Monotonic());
  m_clock.Advance(2s);
  EXPECT_TRUE(mayBeOutdated("u0"));
  m_clock.Advance(1s);
  EXPECT_FALSE(mayBeOutdated("u0"));
  m_registry.Replace({ Entry("u1", 20) }, m_clock.Monotonic());
  EXPECT_TRUE(mayBeOutdated("u0")) << "most entries are missing";
  EXPECT_FALSE(mayBeOutdated("u1"));
}

// An upstream that was draining before the outage must not be kept after its entry disappears.
TEST_F(UpstreamRegistryTest, DoesNotKeepDrainingEntries)
{
  FillWith(3);
  m_registry.Put(Entry("u0", 12, true), m_clock.Monotonic());
  m_registry.OnStoreRecovered(m_clock.Monotonic());
  m_registry.Remove("u0", 13, m_clock.Monotonic());
  EXPECT_FALSE(m_registry.Records().contains("u0"));
}

// If most entries disappear at once, they must be kept for the grace period even if no outage of
// the store was noticed.
TEST_F(UpstreamRegistryTest, KeepsMostEntriesMissingAtOnce)
{
  FillWith(10);
  m_registry.Replace({ Entry("u0", 20) }, m_clock.Monotonic());
  EXPECT_EQ(m_registry.Records().size(), 10U);
  m_clock.Advance(3s);
  m_registry.RemoveExpired(m_clock.Monotonic());
  EXPECT_EQ(m_registry.Records().size(), 1U);
}

TEST_F(UpstreamRegistryTest, OlderEntriesDoNotReplaceNewerOnes)
{
  FillWith(1);
  m_registry.Put(Entry("u0", 12, true), m_clock.Monotonic());
  m_registry.Put(Entry("u0", 11), m_clock.Monotonic());
  EXPECT_TRUE(m_registry.Records().at("u0").m_upstream.m_draining);
}

/// Upstreams that are registered in the first era of the store, which then returns from an older
/// copy.
class RestoredUpstreamsTest : public UpstreamRegistryTest
{
protected:
  void SetUp() override
  {
    m_registry.Replace({ Entry("u0", { 10, 1 }), Entry("u1", { 11, 1 }), Entry("u2", { 12, 1 }) },
                       m_clock.Monotonic());
  }

  /// @param aEntries what the copy has.
  void Restore(std::uint64_t aEra, std::vector<Upstream> aEntries)
  {
    m_clock.Advance(1s);
    m_registry.OnStoreRestored(aEra, m_clock.Monotonic());
    m_registry.Replace(std::move(aEntries), m_clock.Monotonic());
  }

  bool Has(const std::string& aId) const { return m_registry.Records().contains(aId); }

  bool IsDraining(const std::string& aId) const
  {
    return m_registry.Records().at(aId).m_upstream.m_draining;
  }

  /// @return whether anything has changed after the time.
  bool Advance(std::chrono::milliseconds aTime)
  {
    m_clock.Advance(aTime);
    return m_registry.RemoveExpired(m_clock.Monotonic());
  }
};

// Guards against ignoring entries whose revisions have gone back.
TEST_F(RestoredUpstreamsTest, EntriesOfALaterEraAreNewer)
{
  Restore(2, { Entry("u0", { 5, 2 }, true), Entry("u1", { 6, 2 }), Entry("u2", { 7, 2 }) });
  EXPECT_TRUE(IsDraining("u0"));
  m_registry.Put(Entry("u1", { 8, 2 }, true), m_clock.Monotonic());
  EXPECT_TRUE(IsDraining("u1"));
  m_registry.Put(Entry("u2", { 90, 1 }, true), m_clock.Monotonic());
  EXPECT_FALSE(IsDraining("u2")) << "an entry of the earlier era";
}

// Guards against a cold time that starts anew for upstreams that the return does not concern.
TEST_F(RestoredUpstreamsTest, AnUnchangedEntryKeepsItsAge)
{
  const auto readAt = m_registry.Records().at("u0").m_readAt;
  Restore(2, { Entry("u0", { 10, 2 }), Entry("u1", { 11, 2 }), Entry("u2", { 12, 2 }) });
  EXPECT_EQ(m_registry.Records().at("u0").m_readAt, readAt);
  EXPECT_EQ(m_registry.Records().at("u0").m_upstream.m_revision, StoreRevision(10, 2));
}

// Guards against upstreams without requests until they have registered again, without an outage
// that this VM has seen.
TEST_F(RestoredUpstreamsTest, UpstreamsThatTheCopyLacksAreKeptForAWhile)
{
  Restore(2, { Entry("u0", { 10, 2 }), Entry("u1", { 11, 2 }) });
  EXPECT_FALSE(Advance(2s));
  EXPECT_TRUE(Has("u2"));
  m_registry.Put(Entry("u2", { 15, 2 }), m_clock.Monotonic());
  Advance(10s);
  EXPECT_TRUE(Has("u2"));
  Restore(3, { Entry("u0", { 10, 3 }), Entry("u1", { 11, 3 }) });
  EXPECT_TRUE(Advance(2300ms));
  EXPECT_FALSE(Has("u2")) << "has not registered again";
}

// Guards against requests to an upstream that was draining when the copy was made to look ready
// (DRAIN).
TEST_F(RestoredUpstreamsTest, ADrainingUpstreamStaysDraining)
{
  m_registry.Put(Entry("u0", { 20, 1 }, true), m_clock.Monotonic());
  Restore(2, { Entry("u0", { 10, 2 }), Entry("u1", { 11, 2 }), Entry("u2", { 12, 2 }) });
  EXPECT_TRUE(IsDraining("u0"));
  Upstream restarted = Entry("u0", { 16, 2 });
  restarted.m_startedAtMs = 1;
  m_registry.Put(restarted, m_clock.Monotonic());
  EXPECT_FALSE(IsDraining("u0")) << "another incarnation";
}

// Guards against requests to an upstream that was removed after the copy was made (DRAIN).
TEST_F(RestoredUpstreamsTest, ARemovedUpstreamIsHeldBack)
{
  m_registry.Remove("u0", { 20, 1 }, m_clock.Monotonic());
  const std::vector<Upstream> copy{ Entry("u0", { 10, 2 }),
                                    Entry("u1", { 11, 2 }),
                                    Entry("u2", { 12, 2 }) };
  Restore(2, copy);
  EXPECT_FALSE(Has("u0"));
  Advance(3s);
  m_registry.Replace(copy, m_clock.Monotonic());
  EXPECT_FALSE(Has("u0")) << "the same entry again";
  m_registry.Remove("u0", { 16, 2 }, m_clock.Monotonic());
  Advance(10s);
  EXPECT_FALSE(Has("u0"));
  Restore(3, { Entry("u0", { 10, 3 }), Entry("u1", { 11, 3 }), Entry("u2", { 12, 3 }) });
  EXPECT_FALSE(Has("u0")) << "a second return from a copy that has it";
}

// A registration had expired, for example, although the upstream goes on. Guards against an
// upstream that is never used again.
TEST_F(RestoredUpstreamsTest, ARemovedUpstreamReturnsWithASignOfLife)
{
  for (const char* id : { "u0", "u1", "u2" }) {
    m_registry.Remove(id, { 20, 1 }, m_clock.Monotonic());
  }
  Restore(2, { Entry("u0", { 10, 2 }), Entry("u1", { 11, 2 }), Entry("u2", { 12, 2 }) });
  EXPECT_TRUE(m_registry.Records().empty());
  m_registry.Put(Entry("u0", { 14, 2 }), m_clock.Monotonic());
  EXPECT_TRUE(Has("u0")) << "has written";
  m_registry.Replace({ Entry("u0", { 14, 2 }), Entry("u1", { 15, 2 }), Entry("u2", { 12, 2 }) },
                     m_clock.Monotonic());
  EXPECT_TRUE(Has("u1")) << "has written before this list";
  EXPECT_FALSE(Advance(5999ms));
  EXPECT_TRUE(Advance(1ms));
  EXPECT_TRUE(Has("u2")) << "would have been removed by now if it had ended";
}

// Guards against holding back an upstream that registers again while the store goes on.
TEST_F(RestoredUpstreamsTest, AListOfTheSameEraBringsAnUpstreamBack)
{
  m_registry.Remove("u0", { 20, 1 }, m_clock.Monotonic());
  m_registry.Replace({ Entry("u0", { 21, 1 }), Entry("u1", { 11, 1 }), Entry("u2", { 12, 1 }) },
                     m_clock.Monotonic());
  EXPECT_TRUE(Has("u0"));
}

} // namespace
} // namespace jaylane::policy
