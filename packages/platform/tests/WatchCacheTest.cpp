#include "jaylane/platform/WatchCache.h"

#include "jaylane/platform/FakeStore.h"

#include <condition_variable>
#include <gtest/gtest.h>

namespace jaylane::platform {
namespace {

using std::chrono::milliseconds;

WatchOptions Options()
{
  WatchOptions options;
  options.m_wait = milliseconds{ 0 };
  return options;
}

// Guards against missed changes and deletions, against objects with other prefixes, and against a
// copy that is emptied by an outage.
TEST(WatchCache, FollowsChangesAndKeepsThemInAnOutage)
{
  FakeStore store;
  std::vector<std::string> seen;
  WatchCache cache(store, "t/", Options(), std::mt19937(1), [&](const ObjectChange& aChange) {
    seen.push_back(aChange.m_object.m_key + (aChange.m_deleted ? "-" : "+"));
  });
  EXPECT_FALSE(cache.IsSynced());
  const Version first = *store.Put("t/a", "1", kAbsent, {});
  ASSERT_TRUE(store.Put("u/a", "1", kAbsent, {}));
  cache.WatchOnce();
  EXPECT_TRUE(cache.IsSynced());
  EXPECT_EQ(cache.Get("t/a")->m_value, "1");
  store.SetOutage(true);
  cache.WatchOnce();
  EXPECT_EQ(cache.All().size(), 1u);
  store.SetOutage(false);
  ASSERT_TRUE(store.Delete("t/a", first, {}));
  ASSERT_TRUE(store.Put("t/b", "2", kAbsent, {}));
  cache.WatchOnce();
  EXPECT_FALSE(cache.Get("t/a"));
  EXPECT_EQ(seen, (std::vector<std::string>{ "t/a+", "t/a-", "t/b+" }));
}

/// Returns a given batch from each watch, such as one of a store that went back to an older state.
class FixedBatchStore final : public Store
{
public:
  base::Result<StoreObject> Get(const std::string&, milliseconds) override { return Fail(); }
  base::Result<Version> Put(const std::string&, const std::string&, Version, milliseconds) override
  {
    return Fail();
  }
  base::Status Delete(const std::string&, Version, milliseconds) override { return Fail(); }
  base::Result<ObjectListing> List(const std::string&, milliseconds) override { return Fail(); }
  base::Result<ChangeBatch> Watch(const std::string&, Version, milliseconds, milliseconds) override
  {
    return m_batch;
  }
  base::Result<VmList> ListVms(milliseconds) override { return Fail(); }

  ChangeBatch m_batch;

private:
  static base::Error Fail() { return MakeError(PlatformErrc::Unavailable); }
};

// Guards against configuration that reverts when the store returns an older version.
TEST(WatchCache, IgnoresOlderVersions)
{
  FixedBatchStore store;
  unsigned calls = 0;
  WatchCache cache(store, "", Options(), std::mt19937(1), [&](const ObjectChange&) { ++calls; });
  store.m_batch = { 9, { { { "k", 7, "new" }, false } } };
  cache.WatchOnce();
  for (const bool deleted : { false, true }) {
    store.m_batch = { 5, { { { "k", 5, "old" }, deleted }, { { "gone", 8, "old" }, false } } };
    cache.WatchOnce();
    EXPECT_EQ(cache.Get("k")->m_value, "new");
    EXPECT_FALSE(cache.Get("gone"));
  }
  EXPECT_EQ(calls, 1u);
  EXPECT_EQ(cache.IgnoredChanges(), 4u);
}

// Guards against VMs that call a failing store without delay or all at the same time.
TEST(WatchCache, BacksOffWithJitter)
{
  FakeStore store;
  store.SetOutage(true);
  WatchCache one(store, "", Options(), std::mt19937(1), {});
  WatchCache two(store, "", Options(), std::mt19937(2), {});
  milliseconds maxDelay = Options().m_minBackoff;
  bool differ = false;
  for (unsigned i = 0; i < 30; ++i) {
    const milliseconds delay = one.WatchOnce();
    EXPECT_GE(delay, maxDelay / 2);
    EXPECT_LE(delay, maxDelay);
    differ = differ || delay != two.WatchOnce();
    maxDelay = std::min(maxDelay * 2, Options().m_maxBackoff);
  }
  EXPECT_TRUE(differ);
}

// Guards against a watching thread that misses a change or cannot be stopped.
TEST(WatchCache, ThreadDeliversChanges)
{
  FakeStore store;
  std::mutex mutex;
  std::condition_variable changed;
  bool seen = false;
  WatchOptions options;
  options.m_wait = milliseconds{ 50 };
  WatchCache cache(store, "t/", options, std::mt19937(1), [&](const ObjectChange&) {
    std::lock_guard lock(mutex);
    seen = true;
    changed.notify_one();
  });
  cache.Start();
  ASSERT_TRUE(store.Put("t/a", "1", kAbsent, {}));
  std::unique_lock lock(mutex);
  EXPECT_TRUE(changed.wait_for(lock, std::chrono::seconds{ 20 }, [&] { return seen; }));
}

} // namespace
} // namespace jaylane::platform
