#include "jaylane/settings/SettingsReference.h"

#include "SectionKeys.h"
#include "TreeKeys.h"
#include "VmKeys.h"

#include <fmt/format.h>

namespace jaylane::settings {

namespace {

constexpr const char* kIntroduction =
  R"(# Settings

This page is generated from the key tables of the `settings` package by `jaylanectl reference`; a
test compares the two. Units are part of the key names.

Every problem of a file is reported at once, with file, line, key and what was expected:
`jaylanectl check FILE`.

)";

constexpr const char* kNodesText =
  R"(## Settings tree: nodes

`nodes` maps node paths to settings: `/` (everything), `/<region>`, `/<region>/<service>` and
`/<region>/<service>/<zone>`. A node overrides only the keys that it sets; each key is inherited on
its own. These combinations are rejected for the effective settings of every node: planned part +
failover part above the total cap; a lookup lifetime longer than the shift window; a probe timeout
longer than the probe interval; a queue wait longer than the request timeout; a claim lifetime
shorter than the request timeout.

)";

constexpr const char* kSectionsText =
  R"(## Settings tree: sections

Sections are lists and are not inherited. An edit addresses an entry by the section with a leading
`@` as path and the identity of the entry as key: the name of a region or service, `<from>><to>` of
a link, the prefix of a client block, the id of a law, and `site:<region>/<zone>`, `region:<name>`
or `upstream:<id>` of a drain. Every two regions need a link in each direction. Client blocks must
not overlap. A law that leaves callers with no allowed region is a warning unless it sets
`confirm_no_region`. A drain names exactly one of `site`, `region` and `upstream`.

)";

std::string ShowDefault(const Json::Value& aDefault, bool aOptional)
{
  if (aDefault.isNull()) {
    return aOptional ? "absent" : "required";
  }
  return "`" + AbbreviatedJson(aDefault) + "`";
}

template<typename T>
std::string Table(const std::vector<KeySpec<T>>& aKeys)
{
  std::string text = "| key | value | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const KeySpec<T>& key : aKeys) {
    text += fmt::format("| `{}` | {} | {} | {} |\n",
                        key.m_name,
                        key.m_value.m_expected,
                        ShowDefault(key.m_default, key.m_optional),
                        key.m_doc);
  }
  return text + "\n";
}

} // namespace

std::string SettingsReference()
{
  std::string text = kIntroduction;
  text += "## VM settings file\n\n" + Table(VmKeys());
  text += "Entries of `admin_tokens`:\n\n" + Table(AdminTokenKeys());
  text += kNodesText + Table(TreeKeys());
  text += kSectionsText;
  text += "### `regions`\n\n" + Table(RegionKeys());
  text += "### `services`\n\n" + Table(ServiceKeys());
  text += "### `links`\n\n" + Table(LinkKeys());
  text += "### `client_blocks`\n\n" + Table(ClientBlockKeys());
  text += "### `laws`\n\n" + Table(LawKeys());
  text += "### `drains`\n\n" + Table(DrainKeys());
  text.pop_back();
  return text;
}

} // namespace jaylane::settings
