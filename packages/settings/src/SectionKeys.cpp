#include "SectionKeys.h"

#include <array>
#include <cmath>

namespace jaylane::settings {

namespace {

constexpr std::int64_t kMaxRateMbitPerSecond = 10'000'000;
constexpr double kMaxDelayMs = 10'000;

template<typename T>
KeySpec<T> TextKey(const char* aName,
                   std::string T::*aMember,
                   const char* aDoc,
                   Json::Value aDefault = Json::nullValue)
{
  return { aName,
           Identifier(),
           std::move(aDefault),
           aDoc,
           [aMember](T& aTarget, const Json::Value& aValue) {
             aTarget.*aMember = aValue.asString();
           },
           [aMember](const T& aSource) {
             const std::string& text = aSource.*aMember;
             return text.empty() ? Json::Value() : Json::Value(text);
           } };
}

template<typename T>
KeySpec<T> BoolKey(const char* aName, bool T::*aMember, const char* aDoc)
{
  return { aName,
           Boolean(),
           false,
           aDoc,
           [aMember](T& aTarget, const Json::Value& aValue) { aTarget.*aMember = aValue.asBool(); },
           [aMember](const T& aSource) { return Json::Value(aSource.*aMember); } };
}

template<typename T>
KeySpec<T> TimeKey(const char* aName, base::WallTime T::*aMember, const char* aDoc)
{
  return { aName,
           Text("a UTC time such as \"2026-12-04T06:00:00Z\"",
                [](const std::string& aText) { return ParseTime(aText).has_value(); }),
           Json::nullValue,
           aDoc,
           [aMember](T& aTarget, const Json::Value& aValue) {
             aTarget.*aMember = *ParseTime(aValue.asString());
           },
           [aMember](const T& aSource) { return Json::Value(FormatTime(aSource.*aMember)); } };
}

std::vector<std::string> ReadStrings(const Json::Value& aList)
{
  std::vector<std::string> texts;
  for (const Json::Value& element : aList) {
    texts.push_back(element.asString());
  }
  return texts;
}

Json::Value WriteStrings(const std::vector<std::string>& aTexts)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& text : aTexts) {
    list.append(text);
  }
  return list;
}

template<typename T>
KeySpec<T> NameListKey(const char* aName,
                       std::vector<std::string> T::*aMember,
                       std::size_t aMinSize,
                       const char* aDoc)
{
  return { aName,
           ListOf(Identifier(), aMinSize),
           Json::nullValue,
           aDoc,
           [aMember](T& aTarget, const Json::Value& aValue) {
             aTarget.*aMember = ReadStrings(aValue);
           },
           [aMember](const T& aSource) { return WriteStrings(aSource.*aMember); } };
}

KeySpec<Law> TransitRegionsKey()
{
  return { "transit_regions",
           ListOf(Identifier(), 0),
           Json::nullValue,
           "Regions whose entry VMs may forward the request; any if absent.",
           [](Law& aLaw, const Json::Value& aValue) {
             aLaw.m_transitRegions = ReadStrings(aValue);
           },
           [](const Law& aLaw) {
             return aLaw.m_transitRegions ? WriteStrings(*aLaw.m_transitRegions) : Json::Value();
           },
           true };
}

KeySpec<Law> LawServiceKey()
{
  KeySpec<Law> key = TextKey("service", &Law::m_service, "Service concerned; all if absent.");
  key.m_optional = true;
  return key;
}

ValueSpec SiteSpec()
{
  return Text("\"<region>/<zone>\"", [](const std::string& aText) {
    const std::size_t slash = aText.find('/');
    return slash != std::string::npos && IsIdentifier(aText.substr(0, slash)) &&
           IsIdentifier(aText.substr(slash + 1));
  });
}

struct ScopeName
{
  DrainScope m_scope;
  const char* m_name;
};

constexpr std::array<ScopeName, 3> kScopes = { { { DrainScope::Site, "site" },
                                                 { DrainScope::Region, "region" },
                                                 { DrainScope::Upstream, "upstream" } } };

KeySpec<Drain> DrainTargetKey(DrainScope aScope,
                              const char* aName,
                              ValueSpec aSpec,
                              const char* aDoc)
{
  return { aName,
           std::move(aSpec),
           Json::nullValue,
           aDoc,
           [aScope](Drain& aDrain, const Json::Value& aValue) {
             aDrain.m_scope = aScope;
             aDrain.m_target = aValue.asString();
           },
           [aScope](const Drain& aDrain) {
             return aDrain.m_scope == aScope ? Json::Value(aDrain.m_target) : Json::Value();
           },
           true };
}

std::string StringMember(const Json::Value& aEntry, const char* aKey)
{
  return aEntry.isMember(aKey) && aEntry[aKey].isString() ? aEntry[aKey].asString() : "";
}

} // namespace

const std::vector<KeySpec<Region>>& RegionKeys()
{
  static const std::vector<KeySpec<Region>> sKeys = {
    TextKey("name", &Region::m_name, "Name of the region."),
    NameListKey("zones", &Region::m_zones, 1, "Its availability zones; unique over all regions."),
  };
  return sKeys;
}

const std::vector<KeySpec<Service>>& ServiceKeys()
{
  static const std::vector<KeySpec<Service>> sKeys = {
    TextKey("name", &Service::m_name, "Name of the service, as in `/s/<service>/`."),
    BoolKey("idempotent_by_default",
            &Service::m_idempotentByDefault,
            "Whether methods other than GET and HEAD are idempotent unless a request says "
            "otherwise."),
    BoolKey("bulk", &Service::m_bulk, "Whether its transfers use the bulk part of link rates."),
  };
  return sKeys;
}

const std::vector<KeySpec<Link>>& LinkKeys()
{
  using Microseconds = std::chrono::microseconds;
  static const std::vector<KeySpec<Link>> sKeys = {
    TextKey("from", &Link::m_from, "Sending region."),
    TextKey("to", &Link::m_to, "Receiving region."),
    { "rate_mbit_s",
      Integer(1, kMaxRateMbitPerSecond),
      Json::nullValue,
      "Rate in this direction, shared by all traffic.",
      [](Link& aLink, const Json::Value& aValue) { aLink.m_rateMbitPerSecond = aValue.asUInt(); },
      [](const Link& aLink) { return Json::Value(Json::Int64(aLink.m_rateMbitPerSecond)); } },
    { "one_way_delay_ms",
      Number(0, kMaxDelayMs),
      Json::nullValue,
      "Delay in this direction.",
      [](Link& aLink, const Json::Value& aValue) {
        aLink.m_oneWayDelay = Microseconds(std::llround(aValue.asDouble() * 1000));
      },
      [](const Link& aLink) {
        const std::int64_t micros = aLink.m_oneWayDelay.count();
        return micros % 1000 == 0 ? Json::Value(Json::Int64(micros / 1000))
                                  : Json::Value(static_cast<double>(micros) / 1000);
      } },
  };
  return sKeys;
}

const std::vector<KeySpec<ClientBlock>>& ClientBlockKeys()
{
  static const std::vector<KeySpec<ClientBlock>> sKeys = {
    { "prefix",
      Text("an IPv4 prefix without host bits, such as \"10.1.0.0/16\"",
           [](const std::string& aText) { return Ipv4Prefix::Parse(aText).has_value(); }),
      Json::nullValue,
      "Addresses of the callers.",
      [](ClientBlock& aBlock, const Json::Value& aValue) {
        aBlock.m_prefix = *Ipv4Prefix::Parse(aValue.asString());
      },
      [](const ClientBlock& aBlock) { return Json::Value(aBlock.m_prefix.ToString()); } },
    TextKey("region", &ClientBlock::m_region, "Origin region of these callers."),
  };
  return sKeys;
}

const std::vector<KeySpec<Law>>& LawKeys()
{
  static const std::vector<KeySpec<Law>> sKeys = {
    TextKey("id", &Law::m_id, "Name of the law."),
    LawServiceKey(),
    TextKey("origin_region", &Law::m_originRegion, "Region of the callers concerned."),
    NameListKey("allowed_regions", &Law::m_allowedRegions, 0, "Regions that may serve them."),
    TransitRegionsKey(),
    TimeKey("effective_at", &Law::m_effectiveAt, "Time from which the law applies."),
    BoolKey("confirm_no_region",
            &Law::m_confirmNoRegion,
            "Confirms that callers of the origin region may be left without a region."),
  };
  return sKeys;
}

const std::vector<KeySpec<Drain>>& DrainKeys()
{
  static const std::vector<KeySpec<Drain>> sKeys = {
    DrainTargetKey(DrainScope::Site, "site", SiteSpec(), "Site to drain, `<region>/<zone>`."),
    DrainTargetKey(DrainScope::Region, "region", Identifier(), "Region to drain."),
    DrainTargetKey(DrainScope::Upstream, "upstream", Identifier(), "Upstream to drain, by id."),
    TimeKey("since", &Drain::m_since, "Time at which the drain was asked for."),
  };
  return sKeys;
}

std::string IdentityOf(const Region& aRegion)
{
  return aRegion.m_name;
}

std::string IdentityOf(const Service& aService)
{
  return aService.m_name;
}

std::string IdentityOf(const Link& aLink)
{
  return aLink.m_from + ">" + aLink.m_to;
}

std::string IdentityOf(const ClientBlock& aBlock)
{
  return aBlock.m_prefix.ToString();
}

std::string IdentityOf(const Law& aLaw)
{
  return aLaw.m_id;
}

std::string IdentityOf(const Drain& aDrain)
{
  for (const ScopeName& scope : kScopes) {
    if (scope.m_scope == aDrain.m_scope) {
      return std::string(scope.m_name) + ":" + aDrain.m_target;
    }
  }
  return {};
}

std::string RawIdentity(const std::string& aSection, const Json::Value& aEntry)
{
  if (!aEntry.isObject()) {
    return {};
  }
  if (aSection == "links") {
    const std::string from = StringMember(aEntry, "from");
    const std::string to = StringMember(aEntry, "to");
    return from.empty() || to.empty() ? "" : from + ">" + to;
  }
  if (aSection == "drains") {
    for (const ScopeName& scope : kScopes) {
      if (const std::string target = StringMember(aEntry, scope.m_name); !target.empty()) {
        return std::string(scope.m_name) + ":" + target;
      }
    }
    return {};
  }
  if (aSection == "client_blocks") {
    return StringMember(aEntry, "prefix");
  }
  return StringMember(aEntry, aSection == "laws" ? "id" : "name");
}

} // namespace jaylane::settings
