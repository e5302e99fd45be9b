#include "SteeringTableCodec.h"

#include "jaylane/policy/PolicyError.h"

#include <charconv>
#include <chrono>
#include <cmath>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <span>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

constexpr char kSplitToken = 'p';

std::int64_t ToMillis(base::WallTime aTime)
{
  return std::chrono::floor<milliseconds>(aTime.time_since_epoch()).count();
}

base::WallTime FromMillis(std::int64_t aMillis)
{
  return base::WallTime{ milliseconds{ aMillis } };
}

/// Encodes runs of equal values, and each value that has a bit of aSplitBit as kSplitToken.
std::string EncodeRuns(std::span<const std::uint16_t> aValues, std::uint16_t aSplitBit)
{
  std::string text;
  for (std::size_t i = 0; i < aValues.size();) {
    if (!text.empty()) {
      text += ' ';
    }
    if ((aValues[i] & aSplitBit) != 0) {
      text += kSplitToken;
      ++i;
      continue;
    }
    auto end = i + 1;
    while (end < aValues.size() && aValues[end] == aValues[i]) {
      ++end;
    }
    text += std::to_string(aValues[i]);
    if (end - i > 1) {
      text += '*' + std::to_string(end - i);
    }
    i = end;
  }
  return text;
}

/// Reads the numbers and separators of an encoded string.
class RunReader
{
public:
  explicit RunReader(std::string_view aText)
    : m_text(aText)
  {
  }

  bool AtEnd() const { return m_text.empty(); }

  bool Skip(char aExpected)
  {
    if (m_text.empty() || m_text.front() != aExpected) {
      return false;
    }
    m_text.remove_prefix(1);
    return true;
  }

  bool Read(std::uint32_t& aValue)
  {
    const auto* end = m_text.data() + m_text.size();
    const auto result = std::from_chars(m_text.data(), end, aValue);
    if (result.ec != std::errc{}) {
      return false;
    }
    m_text.remove_prefix(result.ptr - m_text.data());
    return true;
  }

private:
  std::string_view m_text;
};

/// Decodes a string of EncodeRuns(). Split buckets get the value aSplit; 0 allows none.
/// @return false unless the string is valid and fills all of aValues.
bool DecodeRuns(std::string_view aText,
                std::size_t aSiteCount,
                std::uint16_t aSplit,
                std::span<std::uint16_t> aValues)
{
  RunReader reader(aText);
  std::size_t position = 0;
  while (!reader.AtEnd()) {
    if (position > 0 && !reader.Skip(' ')) {
      return false;
    }
    std::uint32_t site = aSplit;
    std::uint32_t count = 1;
    if (aSplit == 0 || !reader.Skip(kSplitToken)) {
      if (!reader.Read(site) || site >= aSiteCount ||
          (reader.Skip('*') && (!reader.Read(count) || count == 0))) {
        return false;
      }
    }
    if (count > aValues.size() - position) {
      return false;
    }
    std::fill_n(aValues.begin() + position, count, static_cast<std::uint16_t>(site));
    position += count;
  }
  return position == aValues.size();
}

/// Encodes part runs as "<gap>+<count> ...", where the gap counts from the end of the previous run.
std::string EncodeParts(const std::vector<PartRun>& aRuns)
{
  std::string text;
  std::uint32_t end = 0;
  for (const auto& run : aRuns) {
    text += (text.empty() ? "" : " ") + std::to_string(run.m_first - end) + '+' +
            std::to_string(run.m_count);
    end = run.m_first + run.m_count;
  }
  return text;
}

bool DecodeParts(std::string_view aText, std::uint32_t aPartCount, std::vector<PartRun>& aRuns)
{
  RunReader reader(aText);
  std::uint32_t end = 0;
  while (!reader.AtEnd()) {
    std::uint32_t gap = 0;
    std::uint32_t count = 0;
    if ((!aRuns.empty() && !reader.Skip(' ')) || !reader.Read(gap) || !reader.Skip('+') ||
        !reader.Read(count) || gap > aPartCount - end || count == 0 ||
        count > aPartCount - end - gap) {
      return false;
    }
    aRuns.push_back({ end + gap, count });
    end += gap + count;
  }
  return true;
}

} // namespace

Json::Value SteeringTableCodec::Encode(const SteeringTable& aTable)
{
  Json::Value json;
  json["service"] = aTable.m_service;
  json["generation"] = Json::UInt64{ aTable.m_generation };
  json["writer"] = aTable.m_stamp.m_writer;
  json["nonce"] = aTable.m_stamp.m_nonce;
  json["history_from_ms"] = Json::Int64{ ToMillis(aTable.m_historyFrom) };
  for (const auto& site : aTable.m_sites) {
    Json::Value pair;
    pair.append(site.m_region);
    pair.append(site.m_zone);
    json["sites"].append(std::move(pair));
  }
  const std::span buckets(aTable.m_buckets);
  for (std::size_t origin = 0; origin < aTable.m_origins.size(); ++origin) {
    json["origins"].append(aTable.m_origins[origin]);
    json["buckets"].append(EncodeRuns(
      buckets.subspan(origin * kBucketsPerOrigin, kBucketsPerOrigin), SteeringTable::kSplitBit));
  }
  json["parts"] = Json::arrayValue;
  for (std::uint32_t bucket = 0; bucket < aTable.BucketCount(); ++bucket) {
    if (aTable.IsSplit(bucket)) {
      const auto first = (buckets[bucket] & ~SteeringTable::kSplitBit) * kPartsPerBucket;
      json["parts"].append(
        EncodeRuns(std::span(aTable.m_parts).subspan(first, kPartsPerBucket), 0));
    }
  }
  json["moves"] = Json::arrayValue;
  for (const auto& move : aTable.m_moves) {
    Json::Value record;
    record["at_ms"] = Json::Int64{ ToMillis(move.m_at) };
    record["generation"] = Json::UInt64{ move.m_generation };
    record["recovery"] = move.m_recovery;
    record["share"] = move.m_share;
    record["parts"] = EncodeParts(move.m_parts);
    json["moves"].append(std::move(record));
  }
  return json;
}

bool SteeringTableCodec::DecodeHeader(const Json::Value& aJson, SteeringTable& aTable)
{
  if (!aJson.isObject() || !aJson["service"].isString() || !aJson["generation"].isUInt64() ||
      !aJson["writer"].isString() || !aJson["nonce"].isString() ||
      !aJson["history_from_ms"].isInt64() || !aJson["origins"].isArray() ||
      !aJson["sites"].isArray()) {
    return false;
  }
  std::vector<std::string> origins;
  for (const auto& origin : aJson["origins"]) {
    if (!origin.isString()) {
      return false;
    }
    origins.push_back(origin.asString());
  }
  std::vector<SiteId> sites;
  for (const auto& site : aJson["sites"]) {
    if (!site.isArray() || site.size() != 2 || !site[0].isString() || !site[1].isString()) {
      return false;
    }
    sites.push_back({ site[0].asString(), site[1].asString() });
  }
  auto made =
    SteeringTable::Make(aJson["service"].asString(), std::move(origins), std::move(sites));
  if (!made) {
    return false;
  }
  aTable = std::move(*made);
  aTable.m_generation = aJson["generation"].asUInt64();
  aTable.m_stamp = { aJson["writer"].asString(), aJson["nonce"].asString() };
  aTable.m_historyFrom = FromMillis(aJson["history_from_ms"].asInt64());
  return true;
}

bool SteeringTableCodec::DecodeBuckets(const Json::Value& aJson, SteeringTable& aTable)
{
  const auto& buckets = aJson["buckets"];
  const auto& parts = aJson["parts"];
  if (!buckets.isArray() || buckets.size() != aTable.m_origins.size() || !parts.isArray() ||
      parts.size() > kMaxSplits) {
    return false;
  }
  const std::span values(aTable.m_buckets);
  for (Json::ArrayIndex origin = 0; origin < buckets.size(); ++origin) {
    if (!buckets[origin].isString() ||
        !DecodeRuns(buckets[origin].asString(),
                    aTable.m_sites.size(),
                    SteeringTable::kSplitBit,
                    values.subspan(origin * kBucketsPerOrigin, kBucketsPerOrigin))) {
      return false;
    }
  }
  Json::ArrayIndex split = 0;
  aTable.m_parts.resize(parts.size() * kPartsPerBucket);
  for (auto& value : values) {
    if (value != SteeringTable::kSplitBit) {
      continue;
    }
    if (split == parts.size() || !parts[split].isString() ||
        !DecodeRuns(parts[split].asString(),
                    aTable.m_sites.size(),
                    0,
                    std::span(aTable.m_parts).subspan(split * kPartsPerBucket, kPartsPerBucket))) {
      return false;
    }
    value = SteeringTable::kSplitBit | static_cast<std::uint16_t>(split++);
  }
  return split == parts.size();
}

bool SteeringTableCodec::DecodeMoves(const Json::Value& aJson, SteeringTable& aTable)
{
  if (!aJson["moves"].isArray()) {
    return false;
  }
  for (const auto& record : aJson["moves"]) {
    if (!record.isObject() || !record["at_ms"].isInt64() || !record["generation"].isUInt64() ||
        !record["recovery"].isBool() || !record["share"].isNumeric() ||
        !record["parts"].isString()) {
      return false;
    }
    MoveRecord move{ FromMillis(record["at_ms"].asInt64()),
                     record["generation"].asUInt64(),
                     record["recovery"].asBool(),
                     record["share"].asDouble(),
                     {} };
    if (!std::isfinite(move.m_share) || move.m_share < 0 ||
        (!aTable.m_moves.empty() && move.m_at < aTable.m_moves.back().m_at) ||
        !DecodeParts(
          record["parts"].asString(), aTable.BucketCount() * kPartsPerBucket, move.m_parts)) {
      return false;
    }
    aTable.m_moves.push_back(std::move(move));
  }
  return true;
}

bool SteeringTableCodec::Decode(const Json::Value& aJson, SteeringTable& aTable)
{
  return DecodeHeader(aJson, aTable) && DecodeBuckets(aJson, aTable) && DecodeMoves(aJson, aTable);
}

base::Result<SteeringTable> SteeringTable::FromJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string errors;
  SteeringTable table;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &json, &errors)) {
      return base::Error{ PolicyErrc::InvalidTable, errors };
    }
  } catch (const Json::Exception& exception) {
    // JsonCpp throws instead of reporting an error if the nesting exceeds the reader's limit.
    return base::Error{ PolicyErrc::InvalidTable, exception.what() };
  }
  if (!SteeringTableCodec::Decode(json, table)) {
    return base::Error{ PolicyErrc::InvalidTable,
                        "a member is missing, of the wrong type or out of range" };
  }
  return table;
}

std::string SteeringTable::ToJson() const
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, SteeringTableCodec::Encode(*this));
}

} // namespace jaylane::policy
