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
  /// @param aFaults faults of the first store calls; further calls have none.
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

// Guards against a lost response that is taken for a failure, and against a write that takes effect
// twice.
TEST_F(ConditionalWriterTest, LostResponseIsResolvedByReadingBack)
{
  const WriteResult created = Write({ StoreFault::LostResponse });
  EXPECT_EQ(created.m_outcome, WriteOutcome::Written);
  EXPECT_EQ(created.m_version, 1u);
  const WriteResult updated =
    Write({ StoreFault::LostResponse, StoreFault::LostRequest }, created.m_version);
  EXPECT_EQ(updated.m_outcome, WriteOutcome::Written);
  EXPECT_EQ(updated.m_version, 2u);
}

// Guards against a write still in transit that is reported as not written or takes effect twice.
TEST_F(ConditionalWriterTest, LateWriteTakesEffectOnce)
{
  const WriteResult late = Write({ StoreFault::Late });
  EXPECT_EQ(late.m_outcome, WriteOutcome::Written);
  for (unsigned i = 0; i <= FakeStore::kLateCalls; ++i) {
    EXPECT_EQ(m_store.Get("k", kTimeout)->m_version, late.m_version);
  }
}

// Guards against another writer's object that is taken for the own write.
TEST_F(ConditionalWriterTest, DetectsAnotherWriter)
{
  const Version first = Write({}).m_version;
  ASSERT_EQ(m_other.Write("k", Json::objectValue, first, kTimeout).m_outcome,
            WriteOutcome::Written);
  EXPECT_EQ(Write({}, first).m_outcome, WriteOutcome::OtherWriter);
  const WriteResult lost = Write({ StoreFault::LostRequest }, first);
  EXPECT_EQ(lost.m_outcome, WriteOutcome::OtherWriter);
  ASSERT_TRUE(lost.m_otherObject);
  EXPECT_EQ(WriteId::Parse(lost.m_otherObject->m_value)->m_writer, "b");
}

// Guards against a definite outcome when the own write may have taken effect and been replaced.
TEST_F(ConditionalWriterTest, UnknownWhenReplacedLater)
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
  EXPECT_EQ(result.m_outcome, WriteOutcome::Unknown);
  EXPECT_TRUE(result.m_otherObject);
}

// Guards against refused writes that are reported as unknown, and lost ones that are reported as
// not written.
TEST_F(ConditionalWriterTest, NotWrittenOnlyIfNothingWasSent)
{
  EXPECT_EQ(Write({ StoreFault::Refused }).m_outcome, WriteOutcome::NotWritten);
  const std::deque<StoreFault> lost(2 * ConditionalWriter::kMaxPuts, StoreFault::LostRequest);
  EXPECT_EQ(Write(lost).m_outcome, WriteOutcome::Unknown);
  EXPECT_EQ(Write({ StoreFault::LostRequest, StoreFault::Refused, StoreFault::Refused }).m_outcome,
            WriteOutcome::Written);
}

} // namespace
} // namespace jaylane::platform
