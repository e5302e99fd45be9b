#include "StoreSnapshot.h"

#include <gtest/gtest.h>
#include <set>

namespace jaylane::gateway {
namespace {

TEST(StoreSnapshotTest, KeepsObjectsAndRevisionInJson)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 1, false, 1 }, { "b", 2, false, 2 } }, 5);
  snapshot.Apply({ { "a", 6, true, {} }, { "c", 7, false, 3 } }, 8);
  const auto copy = StoreSnapshot::FromJson(snapshot.ToJson());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->Revision(), 8U);
  const auto objects = copy->Objects();
  ASSERT_EQ(objects.size(), 2U);
  EXPECT_EQ(objects[0].m_name, "b");
  EXPECT_EQ(objects[1].m_revision, 7U);
  EXPECT_EQ(objects[1].m_value->asInt(), 3);
}

// A list whose last page is newer than its first one. Guards against claiming the revision of its
// newest object.
TEST(StoreSnapshotTest, AnObjectThatIsNewerThanTheListDoesNotRaiseTheRevision)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 3, false, 1 }, { "b", 6, false, 2 } }, 5);
  EXPECT_EQ(snapshot.Revision(), 5U);
  const auto copy = StoreSnapshot::FromJson(snapshot.ToJson());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->Revision(), 5U);
  EXPECT_EQ(copy->ChangesSince(5).size(), 1U);
}

// Guards against copies of large objects, which cost small VMs more time than a change may take.
TEST(StoreSnapshotTest, SnapshotsAndChangesShareValues)
{
  const StoredObject object{ "a", 7, false, "large" };
  StoreSnapshot snapshot;
  snapshot.Replace({}, 5);
  const auto applied = snapshot.ApplyPeerChanges({ 5, 8, { object }, std::nullopt });
  ASSERT_TRUE(applied);
  EXPECT_EQ(&*applied->at(0).m_value, &*object.m_value);
  EXPECT_EQ(&*snapshot.Objects()[0].m_value, &*object.m_value);
  EXPECT_EQ(&*snapshot.MakeChanges(5).m_objects[0].m_value, &*object.m_value);
}

// The store and a peer tell of the same change. Guards against applying a configuration again, and
// against losing an object that was removed and created anew.
TEST(StoreSnapshotTest, KnownObjectsAreNoChanges)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 3, false, 1 }, { "b", 4, false, 2 } }, 5);
  EXPECT_EQ(snapshot.Apply({ { "a", 7, false, 3 }, { "b", 4, false, 2 } }, 7).size(), 1U);
  EXPECT_TRUE(snapshot.Apply({ { "a", 3, false, 1 }, { "a", 7, false, 3 } }, 8).empty());
  EXPECT_EQ(snapshot.Revision(), 8U);
  EXPECT_EQ(snapshot.Apply({ { "a", 9, true, {} }, { "a", 7, false, 3 } }, 9).size(), 2U);
  EXPECT_EQ(snapshot.Objects().size(), 2U);
}

// Guards against a peer that keeps an upstream that has left, because removals are missing from the
// changes that it is sent.
TEST(StoreSnapshotTest, ChangesIncludeRemovals)
{
  StoreSnapshot ahead;
  ahead.Replace({ { "a", 1, false, 1 }, { "b", 2, false, 2 }, { "c", 3, false, 3 } }, 5);
  StoreSnapshot behind;
  behind.Replace(ahead.Objects(), 5);
  ahead.Apply({ { "a", 6, true, {} }, { "d", 7, false, 4 } }, 8);
  ahead.Apply({ { "b", 9, true, {} }, { "b", 9, false, 5 } }, 9);
  ASSERT_TRUE(ahead.HasChangesSince(5));
  EXPECT_FALSE(ahead.HasChangesSince(4)) << "removals before the list are unknown";
  const auto copy = StoreChanges::FromJson(ahead.MakeChanges(5).ToJson());
  ASSERT_TRUE(copy);
  EXPECT_FALSE(copy->m_allNames);
  EXPECT_TRUE(behind.ApplyPeerChanges(*copy));
  EXPECT_EQ(behind.ToJson(), ahead.ToJson());
  EXPECT_FALSE(behind.ApplyPeerChanges(*copy)) << "not newer any more";
  EXPECT_TRUE(ahead.ChangesSince(9).empty());
}

// The store has dropped its history, and a new list lacks an upstream that has left meanwhile.
// Guards against peers that never learn of the removal, because no change in the list is newer than
// what they have (DRAIN on scale-1 of the large site).
TEST(StoreSnapshotTest, ANewListTellsOfRemovals)
{
  StoreSnapshot ahead;
  ahead.Replace({ { "a", 1, false, 1 }, { "b", 2, false, 2 } }, 5);
  StoreSnapshot behind;
  behind.Replace(ahead.Objects(), 5);
  ahead.Replace({ { "a", 1, false, 1 } }, 9);
  EXPECT_GT(ahead.NewestChange(), behind.Revision()) << "peers must see that they are behind";
  ASSERT_TRUE(ahead.HasChangesSince(behind.Revision()));
  behind.Apply(ahead.ChangesSince(behind.Revision()), ahead.Revision());
  EXPECT_EQ(behind.Objects().size(), 1U);
  const policy::StoreRevision newest = ahead.NewestChange();
  ahead.Replace(ahead.Objects(), 12);
  EXPECT_EQ(ahead.NewestChange(), newest) << "an equal list is no change";
}

// All VMs of a zone have started together, and the one that watches the store listed last. Guards
// against sending all objects to each of the others with the first change.
TEST(StoreSnapshotTest, ChangesFromBeforeTheListNeedNamesOnly)
{
  StoreSnapshot behind;
  behind.Replace({ { "a", 1, false, 1 }, { "b", 2, false, 2 }, { "c", 3, false, 3 } }, 5);
  StoreSnapshot ahead;
  ahead.Replace({ { "a", 1, false, 1 }, { "c", 7, false, 4 } }, 8);
  const auto copy = StoreChanges::FromJson(ahead.MakeChanges(5).ToJson());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->m_objects.size(), 1U) << "unchanged objects need not be sent";
  const auto applied = behind.ApplyPeerChanges(*copy);
  ASSERT_TRUE(applied);
  EXPECT_EQ(applied->size(), 2U);
  EXPECT_EQ(behind.ToJson(), ahead.ToJson());
}

// Guards against responses that are made for each of many peers that lack the same changes, and
// against a change or removal that such a response lacks.
TEST(StoreSnapshotTest, ChangesAreTheSameSinceTheEarliestEquivalentRevision)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 3, false, 1 }, { "b", 5, false, 2 }, { "c", 6, false, 2 } }, 10);
  snapshot.Apply({ { "a", 14, true, {} }, { "d", 17, false, 4 } }, 20);
  std::set<policy::StoreRevision> earliest;
  for (std::uint64_t since = 1; since < 20; ++since) {
    StoreChanges expected = snapshot.MakeChanges(since);
    expected.m_since = snapshot.EarliestEquivalent(since);
    earliest.insert(expected.m_since);
    EXPECT_LE(expected.m_since, since);
    EXPECT_EQ(snapshot.MakeChanges(expected.m_since).ToJson(), expected.ToJson()) << since;
  }
  EXPECT_EQ(earliest, (std::set<policy::StoreRevision>{ 1, 5, 6, 10, 14, 17 }));
}

// Changes that start after the own revision would leave a gap.
TEST(StoreSnapshotTest, ChangesWithAGapAreIgnored)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 1, false, 1 } }, 5);
  EXPECT_FALSE(snapshot.ApplyPeerChanges({ 6, 9, { { "b", 8, false, 1 } }, std::nullopt }));
  EXPECT_EQ(snapshot.Objects().size(), 1U);
}

TEST(StoreSnapshotTest, AFullSnapshotIsNotTakenForChanges)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 1, false, 1 } }, 5);
  EXPECT_FALSE(StoreChanges::FromJson(snapshot.ToJson()));
}

// Guards against a peer's snapshot that is lost because one of its objects can just be read when it
// comes from the store, but not inside a snapshot.
TEST(StoreSnapshotTest, AnOddObjectCostsNoOther)
{
  Json::Value nested = 1;
  for (int i = 0; i < 31; ++i) {
    Json::Value outer(Json::arrayValue);
    outer.append(std::move(nested));
    nested = std::move(outer);
  }
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 1, false, 1 }, { "b", 2, false, nested }, { "c", 3, false, 3 } }, 5);
  const auto copy = StoreSnapshot::FromJson(snapshot.ToJson());
  ASSERT_TRUE(copy);
  ASSERT_EQ(copy->Objects().size(), 3U);
  EXPECT_EQ(*copy->Objects()[1].m_value, nested);
  EXPECT_EQ(copy->Objects()[2].m_value->asInt(), 3);
  const auto changes = StoreChanges::FromJson(snapshot.MakeChanges(5).ToJson());
  ASSERT_TRUE(changes);
  const auto odd =
    StoreSnapshot::FromJson(R"({"revision":5,"objects":[{"name":"a","revision":1,"value":1e999},)"
                            R"({"name":"b","revision":2,"value":2}]})");
  ASSERT_TRUE(odd);
  ASSERT_EQ(odd->Objects().size(), 2U);
  EXPECT_TRUE(odd->Objects()[0].m_value->isNull());
}

// Guards against malformed responses to snapshot requests.
TEST(StoreSnapshotTest, RejectsMalformedSnapshots)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"revision":1})",
                            R"({"revision":-1,"objects":[]})",
                            R"({"revision":1,"objects":[{"name":1}]})" }) {
    EXPECT_FALSE(StoreSnapshot::FromJson(text)) << text;
  }
}

// Guards against a snapshot that stays at the state of before the store returned from an older
// copy, because its revision is the higher one.
TEST(StoreSnapshotTest, AListOfALaterEraReplacesAll)
{
  StoreSnapshot snapshot;
  snapshot.Replace({ { "a", 60, false, 1 }, { "b", 70, false, 2 } }, 80);
  snapshot.Apply({ { "c", 85, true, {} } }, 85);
  const auto removals = snapshot.Replace({ { "a", { 20, 2 }, false, 3 } }, { 50, 2 });
  ASSERT_EQ(removals.size(), 1U);
  EXPECT_EQ(removals[0].m_name, "b");
  EXPECT_EQ(snapshot.Revision(), policy::StoreRevision(50, 2));
  EXPECT_EQ(snapshot.Objects()[0].m_value->asInt(), 3);
  EXPECT_EQ(snapshot.NewestChange(), snapshot.Revision()) << "peers must see that they are behind";
  EXPECT_FALSE(snapshot.HasChangesSince(85)) << "a peer of the earlier era needs all objects";
}

// Guards against a peer that takes changes of one era for those since a revision of another.
TEST(StoreSnapshotTest, ChangesOfAnotherEraAreIgnored)
{
  StoreSnapshot ahead;
  ahead.Replace({ { "a", { 20, 2 }, false, 3 } }, { 50, 2 });
  ahead.Apply({ { "b", { 55, 2 }, false, 4 } }, { 55, 2 });
  const auto changes = StoreChanges::FromJson(ahead.MakeChanges({ 52, 2 }).ToJson());
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->m_revision, policy::StoreRevision(55, 2));
  EXPECT_EQ(changes->m_objects[0].m_revision, policy::StoreRevision(55, 2));
  StoreSnapshot behind;
  behind.Replace({ { "a", { 20, 1 }, false, 1 } }, { 52, 1 });
  EXPECT_FALSE(behind.ApplyPeerChanges(*changes));
  const auto copy = StoreSnapshot::FromJson(ahead.ToJson());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->Revision(), policy::StoreRevision(55, 2));
  EXPECT_EQ(copy->Objects()[0].m_revision, policy::StoreRevision(20, 2));
}

} // namespace
} // namespace jaylane::gateway
