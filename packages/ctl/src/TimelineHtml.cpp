#include "Text.h"
#include "jaylane/ctl/Timeline.h"

#include <fmt/format.h>
#include <map>
#include <set>

namespace jaylane::ctl {

namespace {

constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>jaylane timeline</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 1rem; }
fieldset { margin-bottom: 1rem; }
label { margin-right: 1rem; white-space: nowrap; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border: 1px solid #ccc; padding: 0.2rem 0.5rem; vertical-align: top; }
td.time { white-space: nowrap; font-family: monospace; }
td code { display: block; white-space: pre-wrap; overflow-wrap: anywhere; color: #555; }
tr.hidden { display: none; }
</style>
</head>
<body>
<h1>jaylane timeline</h1>
)";

constexpr const char* kScript = R"(<script>
for (const box of document.querySelectorAll("input[data-kind]")) {
  box.addEventListener("change", () => {
    for (const row of document.querySelectorAll("tr[data-kind]")) {
      if (row.dataset.kind === box.dataset.kind) {
        row.classList.toggle("hidden", !box.checked);
      }
    }
  });
}
</script>
</body>
</html>
)";

std::string KindFilter(const std::map<std::string, std::size_t>& aKinds)
{
  std::string html = "<fieldset>\n<legend>Kinds of events</legend>\n";
  for (const auto& [kind, count] : aKinds) {
    const std::string escaped = EscapeHtml(kind);
    html +=
      fmt::format("<label><input type=\"checkbox\" checked data-kind=\"{0}\"> {0} ({1})</label>\n",
                  escaped,
                  count);
  }
  return html + "</fieldset>\n";
}

} // namespace

std::string Timeline::ToHtml() const
{
  std::map<std::string, std::size_t> kinds;
  std::set<std::string> vms;
  for (const TimelineEvent& event : m_events) {
    ++kinds[event.m_kind];
    vms.insert(event.m_vm);
  }
  std::string html = kHead + KindFilter(kinds) + "<table>\n<thead><tr><th>time (UTC)</th>";
  std::map<std::string, std::size_t> columns;
  for (const std::string& vm : vms) {
    columns.emplace(vm, columns.size());
    html += "<th>" + EscapeHtml(vm) + "</th>";
  }
  html += "</tr></thead>\n<tbody>\n";
  for (const TimelineEvent& event : m_events) {
    const std::size_t column = columns.at(event.m_vm);
    html += fmt::format("<tr data-kind=\"{}\"><td class=\"time\" title=\"{}\">{}</td>",
                        EscapeHtml(event.m_kind),
                        event.m_stamp.ToString(),
                        FormatMillis(event.m_stamp.m_millis));
    html += column > 0 ? fmt::format("<td colspan=\"{}\"></td>", column) : "";
    html += fmt::format("<td>{}<code>{}</code></td>",
                        EscapeHtml(event.m_kind),
                        EscapeHtml(CompactJson(event.m_fields)));
    const std::size_t following = columns.size() - column - 1;
    html += following > 0 ? fmt::format("<td colspan=\"{}\"></td></tr>\n", following) : "</tr>\n";
  }
  return html + "</tbody>\n</table>\n" + kScript;
}

} // namespace jaylane::ctl
