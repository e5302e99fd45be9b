#include "jaylane/gateway/GatewaySettings.h"

#include "jaylane/gateway/GatewayError.h"

#include <yaml-cpp/yaml.h>

namespace jaylane::gateway {

namespace {

constexpr double kBytesPerMegabyte = 1024 * 1024;
/// Largest settings file. Usual ones have a few hundred bytes; a larger one is an error or an
/// attack.
constexpr std::size_t kMaxFileBytes = 64 * 1024;
/// Largest value of a setting without a unit.
constexpr double kMaxNumber = 1e9;

base::Error Invalid(std::string aDetail)
{
  return { make_error_code(GatewayErrc::InvalidSettings), std::move(aDetail) };
}

/// Reads keys of a YAML mapping and keeps the first error.
class MappingReader
{
public:
  explicit MappingReader(const YAML::Node& aNode)
    : m_node(aNode)
  {
  }

  template<typename T>
  void Require(const char* aKey, T& aValue)
  {
    if (!m_node[aKey] || m_node[aKey].IsNull()) {
      Fail(aKey, "is missing");
    } else {
      Read(aKey, aValue);
    }
  }

  template<typename T>
  void Read(const char* aKey, T& aValue)
  {
    const YAML::Node value = m_node[aKey];
    if (!value || value.IsNull()) {
      return;
    }
    try {
      aValue = value.as<T>();
    } catch (const YAML::Exception&) {
      Fail(aKey, "has the wrong type");
    }
  }

  /// Reads a number that may have a fraction.
  void ReadNumber(const char* aKey, double& aValue)
  {
    double value = aValue;
    Read(aKey, value);
    if (!(value >= 0 && value <= kMaxNumber)) {
      Fail(aKey, "must be between 0 and 1000000000");
      return;
    }
    aValue = value;
  }

  /// Reads a count. The platform divides some counts, so that a fraction may remain; it is cut off.
  void ReadCount(const char* aKey, std::uint32_t& aValue)
  {
    double count = aValue;
    ReadNumber(aKey, count);
    aValue = static_cast<std::uint32_t>(count);
  }

  void ReadSeconds(const char* aKey, std::chrono::milliseconds& aValue)
  {
    double seconds = std::chrono::duration<double>(aValue).count();
    Read(aKey, seconds);
    if (!(seconds >= 0 && seconds < 86400)) {
      Fail(aKey, "must be between 0 and 86400 seconds");
      return;
    }
    aValue = std::chrono::milliseconds{ static_cast<std::int64_t>(seconds * 1000) };
  }

  /// Reads a size in megabytes and stores half of it in bytes.
  void ReadHalfOfMegabytes(const char* aKey, std::uint64_t& aBytes)
  {
    double megabytes = static_cast<double>(aBytes) * 2 / kBytesPerMegabyte;
    Read(aKey, megabytes);
    if (!(megabytes >= 16 && megabytes < 1048576)) {
      Fail(aKey, "must be between 16 and 1048576 megabytes");
      return;
    }
    aBytes = static_cast<std::uint64_t>(megabytes / 2 * kBytesPerMegabyte);
  }

  void ReadMillis(const char* aKey, std::chrono::milliseconds& aValue)
  {
    double millis = static_cast<double>(aValue.count());
    Read(aKey, millis);
    if (!(millis >= 0 && millis < 86400000)) {
      Fail(aKey, "must be between 0 and 86400000 milliseconds");
      return;
    }
    aValue = std::chrono::milliseconds{ static_cast<std::int64_t>(millis) };
  }

  const std::string& Problem() const { return m_problem; }

private:
  void Fail(const char* aKey, const char* aProblem)
  {
    if (m_problem.empty()) {
      m_problem = std::string{ aKey }.append(" ").append(aProblem);
    }
  }

  YAML::Node m_node;
  std::string m_problem;
};

base::Result<GatewaySettings> FromNode(const YAML::Node& aNode)
{
  GatewaySettings settings;
  MappingReader reader(aNode);
  reader.Require("name", settings.m_name);
  reader.Require("zone", settings.m_zone);
  reader.Require("region", settings.m_region);
  reader.Read("zones", settings.m_zones);
  reader.Require("caller_address", settings.m_callerAddress);
  reader.Read("ready_address", settings.m_readyAddress);
  reader.Read("lookup_address", settings.m_lookupAddress);
  reader.Read("metrics_address", settings.m_metricsAddress);
  reader.Require("peer_address", settings.m_peerAddress);
  reader.Read("seeds", settings.m_seeds);
  reader.Require("store_address", settings.m_storeAddress);
  double coreShare = 1;
  reader.ReadNumber("cores", settings.m_cores);
  reader.ReadNumber("core_share", coreShare);
  settings.m_cores *= coreShare;
  reader.ReadCount("max_descriptors", settings.m_maxDescriptors);
  reader.ReadHalfOfMegabytes("memory_mb", settings.m_bodyMemoryBytes);
  reader.ReadSeconds("stop_grace_seconds", settings.m_stopGrace);
  reader.ReadSeconds("lookup_lifetime_seconds", settings.m_lookupLifetime);
  reader.ReadMillis("drain_ms", settings.m_drainTime);
  reader.ReadMillis("heartbeat_ms", settings.m_heartbeat);
  reader.ReadMillis("configuration_ms", settings.m_configurationTime);
  reader.ReadNumber("retry_share", settings.m_retryShare);
  reader.ReadNumber("retry_slack", settings.m_retrySlack);
  reader.ReadSeconds("retry_window_seconds", settings.m_retryWindow);
  reader.ReadNumber("cold_factor", settings.m_coldFactor);
  reader.ReadNumber("cold_slack", settings.m_coldSlack);
  if (!reader.Problem().empty()) {
    return Invalid(reader.Problem());
  }
  settings.m_zones.emplace(settings.m_zone, settings.m_region);
  return settings;
}

} // namespace

base::Result<GatewaySettings> GatewaySettings::Parse(std::string_view aText)
{
  if (aText.size() > kMaxFileBytes) {
    return Invalid("the file is larger than 64 KiB");
  }
  // Nested aliases grow exponentially: nine levels of nine aliases expand to gigabytes.
  if (aText.find('*') != std::string_view::npos) {
    return Invalid("aliases are not supported");
  }
  try {
    const YAML::Node node = YAML::Load(std::string(aText));
    if (!node.IsMap()) {
      return Invalid("the file is not a mapping");
    }
    return FromNode(node);
  } catch (const YAML::Exception& error) {
    return Invalid(error.what());
  }
}

} // namespace jaylane::gateway
