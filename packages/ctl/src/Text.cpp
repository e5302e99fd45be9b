#include "Text.h"

#include "jaylane/settings/JsonText.h"
#include "jaylane/settings/TreeSections.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <json/writer.h>

namespace jaylane::ctl {

namespace {

std::string Write(const Json::Value& aValue, const char* aIndentation)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = aIndentation;
  return Json::writeString(builder, aValue);
}

} // namespace

std::string EscapeHtml(std::string_view aText)
{
  std::string html;
  for (const char c : aText) {
    switch (c) {
      case '&':
        html += "&amp;";
        break;
      case '<':
        html += "&lt;";
        break;
      case '>':
        html += "&gt;";
        break;
      case '"':
        html += "&quot;";
        break;
      case '\'':
        html += "&#39;";
        break;
      default:
        html += c;
    }
  }
  return html;
}

std::string Printable(std::string_view aText)
{
  std::string text(aText);
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      c = '?';
    }
  }
  return text;
}

std::string CompactJson(const Json::Value& aValue)
{
  return Write(aValue, "");
}

std::string IndentedJson(const Json::Value& aValue)
{
  return Write(aValue, "  ") + "\n";
}

std::string FormatMillis(std::uint64_t aMillis)
{
  // WallTime counts nanoseconds in 64 bits, which lasts until 2262; a faulty timestamp may be
  // later.
  constexpr std::uint64_t kMaxWallMillis = 9'000'000'000'000;
  const std::uint64_t bounded = std::min(aMillis, kMaxWallMillis);
  const base::WallTime time{ std::chrono::milliseconds(bounded) };
  std::string text = settings::FormatTime(time);
  text.pop_back();
  return fmt::format("{}.{:03}Z", text, bounded % 1000);
}

Json::Value ParseJsonOrText(const std::string& aText)
{
  const base::Result<Json::Value> value = settings::ParseJson(aText);
  return value ? *value : Json::Value(aText);
}

std::string EncodeQuery(std::string_view aText)
{
  std::string encoded;
  for (const char c : aText) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       c == '-' || c == '_' || c == '.' || c == '~' || c == '/';
    encoded += plain ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return encoded;
}

} // namespace jaylane::ctl
