#include "jaylane/base/JsonText.h"

#include "jaylane/base/Secrets.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

// Guards against deeply nested JSON of an upstream or peer that terminates the process, and against
// malformed JSON that jsoncpp accepts by default.
TEST(JsonText, AcceptsOnlyStrictJson)
{
  EXPECT_TRUE(ParseJson(R"({"a":[1,2,{"b":null}]})"));
  for (const std::string& text : { std::string(4000, '['),
                                   std::string(4000, '{'),
                                   std::string(),
                                   std::string("{} x"),
                                   std::string("{'a':1}"),
                                   std::string(R"({"a":1,"a":2})"),
                                   std::string("/* c */ {}") }) {
    EXPECT_FALSE(ParseJson(text)) << text.substr(0, 20);
  }
}

// Guards against values that change when they are written and parsed again.
TEST(JsonText, WritesOneLine)
{
  Json::Value value(Json::objectValue);
  value["text"] = "line\nbreak";
  const std::string text = WriteJson(value);
  EXPECT_EQ(text.find('\n'), std::string::npos);
  EXPECT_EQ(*ParseJson(text), value);
}

// Guards against prefixes, repetitions and empty texts that are accepted as the secret.
TEST(Secrets, OnlyTheWholeSecretIsEqual)
{
  EXPECT_TRUE(EqualSecrets("secret", "secret"));
  for (const char* given : { "", "secre", "secret0", "secretsecret", "Secret" }) {
    EXPECT_FALSE(EqualSecrets(given, "secret")) << given;
  }
  EXPECT_FALSE(EqualSecrets("secret", ""));
}

} // namespace
} // namespace jaylane::base
