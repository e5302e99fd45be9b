#include "jaylane/settings/AdminApi.h"

#include "SampleTree.h"

#include <gtest/gtest.h>

namespace jaylane::settings {
namespace {

const std::vector<AdminToken> kTokens = { { "dash", "read-token-012345", AdminRole::Read },
                                          { "ann", "write-token-01234", AdminRole::Write } };

SettingsDocument MakeDocument()
{
  SettingsDocument document;
  document.m_generation = 3;
  document.m_tree = *SettingsTree::ParseYaml(kSampleTree, "t");
  return document;
}

std::error_code ErrorOfAuthorize(std::string_view aHeader, AdminRole aRole)
{
  const auto who = AdminApi::Authorize(kTokens, aHeader, aRole);
  return who ? std::error_code() : who.GetError().m_code;
}

// Guards against granting access without a token, with part of a token, or beyond the token's role.
TEST(AdminApiTest, Authorizes)
{
  EXPECT_EQ(*AdminApi::Authorize(kTokens, "Bearer write-token-01234", AdminRole::Write), "ann");
  EXPECT_EQ(*AdminApi::Authorize(kTokens, "Bearer read-token-012345", AdminRole::Read), "dash");
  EXPECT_EQ(ErrorOfAuthorize("Bearer read-token-012345", AdminRole::Write),
            SettingsErrc::Forbidden);
  for (const char* header : { "",
                              "Bearer ",
                              "Bearer read-token-01234",
                              "read-token-012345",
                              "Bearer read-token-012345read-token-012345" }) {
    EXPECT_EQ(ErrorOfAuthorize(header, AdminRole::Read), SettingsErrc::Unauthorized) << header;
  }
}

// Guards against parsing edit requests differently from what docs/admin-api.md states.
TEST(AdminApiTest, ParsesEdits)
{
  const auto edit = AdminApi::ParseEdit(
    R"({"id":"x","base_generation":3,"path":"/","key":"retry_attempts","value":3})");
  ASSERT_TRUE(edit);
  EXPECT_EQ(edit->m_changes[0].m_value, Json::Value(3));
  for (const char* body :
       { "",
         "[]",
         R"({"id":"x","base_generation":3,"path":"/","key":"k"})",
         R"({"id":"x/y","base_generation":3,"path":"/","key":"k","value":1})",
         R"({"id":"x","base_generation":-1,"path":"/","key":"k","value":1})",
         R"({"id":"x","base_generation":3,"changes":[]})",
         R"({"id":"x","base_generation":3,"changes":[{"path":"/","key":"k","value":1},
             {"path":"/","key":"k","value":2}]})" }) {
    EXPECT_FALSE(AdminApi::ParseEdit(body)) << body;
  }
  // By default, jsoncpp throws on deep nesting, and accepts trailing text and duplicate members.
  const std::string valid = R"({"id":"x","base_generation":3,"path":"/","key":"k","value":1})";
  EXPECT_TRUE(AdminApi::ParseEdit(valid));
  EXPECT_FALSE(AdminApi::ParseEdit(std::string(5000, '[')));
  EXPECT_FALSE(AdminApi::ParseEdit(valid + "{}"));
  EXPECT_FALSE(AdminApi::ParseEdit(R"({"id":"a",)" + valid.substr(1)));
}

// Guards against a drain that changes the wrong entry, and against treating a repeated drain
// request as a new edit.
TEST(AdminApiTest, ParsesDrainsAsEdits)
{
  const char* body =
    R"({"id":"d","base_generation":3,"site":"north/north-a","since":"2026-12-04T05:20:00Z"})";
  const auto drain = AdminApi::ParseDrain(body, false);
  ASSERT_TRUE(drain) << drain.GetError().Message();
  EXPECT_EQ(drain->m_changes[0].m_key, "site:north/north-a");
  const MergeResult merged = EditMerger::Merge(MakeDocument(), *drain, {});
  ASSERT_TRUE(merged.m_document) << ToString(merged.m_diagnostics);
  EXPECT_EQ(merged.m_document->m_tree.Drains().size(), 1u);
  EXPECT_EQ(*AdminApi::ParseDrain(body, false), *drain);
  EXPECT_FALSE(AdminApi::ParseDrain(body, true)->m_changes[0].m_value);
  EXPECT_FALSE(AdminApi::ParseDrain(R"({"id":"d","base_generation":3})", false));
  EXPECT_FALSE(AdminApi::ParseDrain(
    R"({"id":"d","base_generation":3,"site":"north/north-a","region":"north"})", false));
}

// Guards against responses without the members that docs/admin-api.md specifies.
TEST(AdminApiTest, BuildsResponses)
{
  const SettingsDocument document = MakeDocument();
  const Edit edit{ "x", 3, { { "/north", "retry_attempts", Json::Value(3) } } };
  const AdminResponse plan = AdminApi::Plan(document, edit);
  EXPECT_EQ(plan.m_body["outcome"], "would-accept");
  EXPECT_EQ(plan.m_body["changes"][0]["old"], Json::nullValue);
  EXPECT_EQ(plan.m_body["effective_total"], 2u);
  EXPECT_EQ(plan.m_body["effective"][0]["path"], "/north/orders/north-a");

  const EditContext context{ "ann", {}, "vm", "n" };
  const MergeResult merged = EditMerger::Merge(document, edit, context);
  EXPECT_EQ(AdminApi::MergeResponse(merged, edit).m_body["generation"], 4u);
  const SettingsDocument& next = *merged.m_document;
  EXPECT_EQ(AdminApi::History(next).m_body["history"][0]["who"], "ann");
  EXPECT_EQ(AdminApi::EditStatusOf(next, "x", 3).m_body["outcome"], "accepted");
  EXPECT_EQ(AdminApi::EditStatusOf(next, "y", 3).m_body["outcome"], "not-accepted");
  EXPECT_EQ(AdminApi::Effective(next, "/north").m_body["settings"]["retry_attempts"]["from"],
            "/north");
  EXPECT_EQ(AdminApi::Effective(next, "north").m_status, 400);

  const Edit late{ "y", 3, { { "/north", "retry_attempts", Json::Value(4) } } };
  const AdminResponse conflict =
    AdminApi::MergeResponse(EditMerger::Merge(next, late, context), late);
  EXPECT_EQ(conflict.m_status, 409);
  const Json::Value& error = conflict.m_body["error"];
  EXPECT_EQ(error["code"], "conflict");
  EXPECT_EQ(error["yours"], 4);
  EXPECT_EQ(error["theirs"], 3);
  EXPECT_EQ(AdminApi::Plan(next, late).m_status, 409);
  EXPECT_EQ(AdminApi::Error({ SettingsErrc::Forbidden, "dash" }).m_status, 403);
}

} // namespace
} // namespace jaylane::settings
