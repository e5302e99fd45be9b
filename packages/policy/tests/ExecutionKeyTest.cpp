#include "jaylane/policy/ExecutionKey.h"

#include "jaylane/policy/ExecutionError.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

ExecutionKey GenerateKey()
{
  const auto nonceChar = rc::gen::elementOf(std::string("abzAZ059_-"));
  return { { { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>() },
             *rc::gen::arbitrary<std::uint32_t>() },
           *rc::gen::resize(32, rc::gen::nonEmpty(rc::gen::container<std::string>(nonceChar))) };
}

// Guards against two keys with the same text, or a key that another VM parses differently.
RC_GTEST_PROP(ExecutionKey, TextFormRoundTrips, ())
{
  auto key = GenerateKey();
  key.m_nonce.resize(std::min(key.m_nonce.size(), ExecutionKey::kMaxNonceBytes));
  const auto parsed = ParseRequestKey(key.ToString());
  RC_ASSERT(bool(parsed));
  RC_ASSERT(std::get<ExecutionKey>(*parsed) == key);
}

// Guards against a damaged scoped key that is taken as a claim key and runs again, since its
// scope's ledger is not consulted.
RC_GTEST_PROP(ExecutionKey, DamagedKeyIsNeverAClaim, (std::uint8_t aPosition, char aChar))
{
  auto text = GenerateKey().ToString();
  text[aPosition % text.size()] = aChar;
  const auto parsed = ParseRequestKey(text);
  if (parsed && std::holds_alternative<ClaimKey>(*parsed)) {
    // The text can be a claim key only if it has lost its dot, and then no ledger accepts it.
    RC_ASSERT(text.find('.') == std::string::npos);
  }
  if (parsed && std::holds_alternative<ExecutionKey>(*parsed)) {
    RC_ASSERT(std::get<ExecutionKey>(*parsed).ToString() == text);
  }
}

// Guards against several spellings of one key, each of which could run once.
TEST(ExecutionKey, RefusesOtherSpellings)
{
  const std::string scope = "00000000000000ab00000000000000cd-7";
  EXPECT_TRUE(ParseRequestKey(scope + ".n"));
  const std::string texts[] = { "",
                                ".",
                                scope + ".",
                                scope + ".a.b",
                                scope + ".a b",
                                scope + "." + std::string(33, 'a'),
                                "0" + scope + ".n",
                                "00000000000000AB00000000000000cd-7.n",
                                "00000000000000ab00000000000000cd-07.n",
                                "00000000000000ab00000000000000cd--7.n",
                                "00000000000000ab00000000000000cd-4294967296.n",
                                "order.7",
                                "order 7",
                                std::string(129, 'a') };
  for (const auto& text : texts) {
    const auto key = ParseRequestKey(text);
    ASSERT_FALSE(key) << text;
    EXPECT_EQ(key.GetError().m_code, ExecutionErrc::MalformedKey);
  }
  const auto claim = ParseRequestKey("order:7_b-1");
  ASSERT_TRUE(claim);
  EXPECT_TRUE(std::holds_alternative<ClaimKey>(*claim));
}

} // namespace
} // namespace jaylane::policy
