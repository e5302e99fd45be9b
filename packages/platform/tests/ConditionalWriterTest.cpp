#include "jaylane/platform/ConditionalWriter.h"

#include "jaylane/platform/FakeStore.h"

#include <deque>
#include <gtest/gtest.h>

namespace jaylane::platform {
namespace {

constexpr std::chrono::milliseconds kTimeout{ 100 };

class ConditionalWriterTest : public ::testing::Test
{
protected:
  /// @param aFaults of the next calls; those after them have none.
  WriteResult Write(std::deque<StoreFault> aFaults, Version aExpected = kAbsent)
  {
    m_faults = std::move(aFaults);
    m_store.SetFaultHook([this](StoreCall) {
      if (m_faults.empty()) {
        return StoreFault::None;
      }
      const StoreFault fault = m_faults.front();
      m_faults.pop_front();
      return fault;
    });
    const WriteResult result = m_writer.Write("k", Json::objectValue, aExpected, kTimeout);
    m_store.SetFaultHook({});
    return result;
  }

  FakeStore m_store;
  std::deque<StoreFault> m_faults;
  ConditionalWriter m_writer{ m_store, "a", MakeNonceSource(1) };
  ConditionalWriter m_other{ m_store, "b", MakeNonceSource(2) };
};

// Guards against a lost response taken as a failure, and against writing twice.
TEST_F(ConditionalWriterTest, LostResponseOfOwnWrite)
{
  const WriteResult created = Write({ StoreFault::LostResponse });
  EXPECT_EQ(created.m_outcome, WriteOutcome::Written);
  EXPECT_EQ(created.m_version, 1u);
  const WriteResult updated =
    Write({ StoreFault::LostResponse, StoreFault::LostRequest }, created.m_version);
  EXPECT_EQ(updated.m_outcome, WriteOutcome::Written);
  EXPECT_EQ(updated.m_version, 2u);
}

// Guards against a write that is still on its way being reported as absent.
TEST_F(ConditionalWriterTest, LateWriteIsFenced)
{
  const WriteResult late = Write({ StoreFault::Late });
  EXPECT_EQ(late.m_outcome, WriteOutcome::Written);
  for (unsigned i = 0; i <= FakeStore::kLateCalls; ++i) {
    EXPECT_EQ(m_store.Get("k", kTimeout)->m_version, late.m_version);
  }
}

// Guards against another writer's object taken as the own write.
TEST_F(ConditionalWriterTest, OtherWriter)
{
  const Version first = Write({}).m_version;
  ASSERT_EQ(m_other.Write("k", Json::objectValue, first, kTimeout).m_outcome,
            WriteOutcome::Written);
  EXPECT_EQ(Write({}, first).m_outcome, WriteOutcome::OtherWriter);
  const WriteResult lost = Write({ StoreFault::LostRequest }, first);
  EXPECT_EQ(lost.m_outcome, WriteOutcome::OtherWriter);
  ASSERT_TRUE(lost.m_other);
  EXPECT_EQ(WriteStamp::Parse(lost.m_other->m_value)->m_writer, "b");
}

// Guards against a claim of certainty when the own write may have been replaced.
TEST_F(ConditionalWriterTest, UnsureWhenReplacedLater)
{
  const Version first = Write({}).m_version;
  m_store.SetDelayHook([this](StoreCall aCall) {
    if (aCall == StoreCall::Get) {
      m_store.SetDelayHook({});
      m_store.SetFaultHook({});
      const Version version = m_store.Get("k", kTimeout)->m_version;
      EXPECT_EQ(m_other.Write("k", Json::objectValue, version, kTimeout).m_outcome,
                WriteOutcome::Written);
    }
  });
  const WriteResult result = Write({ StoreFault::LostResponse }, first);
  EXPECT_EQ(result.m_outcome, WriteOutcome::Unsure);
  EXPECT_TRUE(result.m_other);
}

// Guards against refused writes reported as unsure, and lost ones reported as absent.
TEST_F(ConditionalWriterTest, AbsentOnlyIfNothingWasSent)
{
  EXPECT_EQ(Write({ StoreFault::Refused }).m_outcome, WriteOutcome::Absent);
  const std::deque<StoreFault> lost(2 * ConditionalWriter::kMaxPuts, StoreFault::LostRequest);
  EXPECT_EQ(Write(lost).m_outcome, WriteOutcome::Unsure);
  EXPECT_EQ(Write({ StoreFault::LostRequest, StoreFault::Refused, StoreFault::Refused }).m_outcome,
            WriteOutcome::Written);
}

} // namespace
} // namespace jaylane::platform
