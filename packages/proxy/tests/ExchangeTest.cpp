#include "jaylane/proxy/Exchange.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::proxy {
namespace {

std::string MakeBody(std::size_t aSize)
{
  std::string body(aSize, '\0');
  for (std::size_t i = 0; i < aSize; ++i) {
    body[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  }
  return body;
}

/// Passes an upload through an exchange in chunks, alternating between both sides.
std::string PassUpload(Exchange& aExchange, const std::string& aBody, std::size_t aChunk)
{
  std::string received;
  std::size_t offered = 0;
  bool finished = false;
  for (;;) {
    if (offered < aBody.size()) {
      offered += aExchange.OfferUpload(std::string_view(aBody).substr(offered, aChunk), [] {});
    } else if (!finished) {
      aExchange.FinishUpload();
      finished = true;
    }
    std::string block(aChunk / 2 + 1, '\0');
    const auto read = aExchange.ReadUpload(received.size(), block.data(), block.size());
    if (read.m_state == Exchange::ReadState::End) {
      return received;
    }
    received.append(block, 0, read.m_size);
  }
}

// Guards against bytes lost, repeated or reordered between the replay buffer and the ring buffer.
RC_GTEST_PROP(Exchange, UploadArrivesWhole, ())
{
  const auto size = *rc::gen::inRange<std::size_t>(0, 700'000);
  const auto chunk = *rc::gen::inRange<std::size_t>(1000, 100'000);
  const std::string body = MakeBody(size);
  Exchange exchange({}, {});
  RC_ASSERT(PassUpload(exchange, body, chunk) == body);
  RC_ASSERT(exchange.UploadLength() == size);
  RC_ASSERT(exchange.CanReplay() == (size <= Exchange::kReplayBytes));
}

// Guards against a second attempt that sends a body other than the first.
TEST(Exchange, ReplaysSmallUploads)
{
  const std::string body = MakeBody(5000);
  Exchange exchange({}, {});
  EXPECT_EQ(PassUpload(exchange, body, 700), body);
  std::string again(body.size(), '\0');
  EXPECT_EQ(exchange.ReadUpload(0, again.data(), again.size()).m_size, body.size());
  EXPECT_EQ(again, body);
}

// Guards against unbounded memory: a side that outruns the other is suspended, then resumed.
TEST(Exchange, SuspendsTheFasterSide)
{
  Exchange exchange({}, {});
  int suspended = 0;
  int resumed = 0;
  exchange.SetResumeCaller([&] { ++resumed; });
  const std::string block = MakeBody(50'000);
  std::size_t taken = 0;
  while (const auto size = exchange.OfferUpload(block, [&] { ++suspended; })) {
    taken += size;
  }
  EXPECT_EQ(taken, Exchange::kReplayBytes + Exchange::kBufferBytes);
  EXPECT_EQ(suspended, 1);
  std::string target(Exchange::kReplayBytes + 1, '\0');
  exchange.ReadUpload(0, target.data(), target.size());
  EXPECT_EQ(resumed, 0);
  exchange.ReadUpload(Exchange::kReplayBytes, target.data(), target.size());
  EXPECT_EQ(resumed, 1);
}

// Guards against a second response mixed into the first, and against a partial response that is
// taken for a complete one.
TEST(Exchange, OnlyTheFirstResponseCounts)
{
  Exchange exchange({}, {});
  ResponseHead head;
  head.m_status = 200;
  EXPECT_TRUE(exchange.CommitResponse(head));
  EXPECT_FALSE(exchange.Respond(head, "other"));
  EXPECT_TRUE(exchange.WriteDownload("part"));
  exchange.FinishDownload(false);
  std::string target(100, '\0');
  EXPECT_EQ(exchange.ReadDownload(target.data(), 100, [] {}).m_size, 4u);
  EXPECT_EQ(exchange.ReadDownload(target.data(), 100, [] {}).m_state, Exchange::ReadState::Failed);
}

} // namespace
} // namespace jaylane::proxy
