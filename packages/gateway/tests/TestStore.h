#pragma once

#include "ScriptedUpstream.h"
#include "StoreSnapshot.h"
#include "jaylane/base/JsonText.h"
#include "jaylane/gateway/GatewayError.h"
#include "jaylane/gateway/StoreDialect.h"

#include <chrono>
#include <fmt/format.h>
#include <stdexcept>

namespace jaylane::gateway {

/// Dialect whose list and watch responses have the format of StoreSnapshot::ToJson(). A page that
/// is not the last has "more" in addition.
class TestDialect : public StoreDialect
{
public:
  std::string ListTarget(ObjectKind aKind, std::string_view aAfter, Freshness) const override
  {
    return aAfter.empty() ? fmt::format("/list/{}", static_cast<int>(aKind))
                          : fmt::format("/list/after/{}/{}", aAfter, static_cast<int>(aKind));
  }
  std::string WatchTarget(ObjectKind aKind,
                          policy::StoreRevision aSince,
                          std::chrono::milliseconds) const override
  {
    return fmt::format("/watch/{}/{}", aSince.Number(), static_cast<int>(aKind));
  }
  std::string CreateTarget(ObjectKind aKind) const override
  {
    return fmt::format("/create/{}", static_cast<int>(aKind));
  }
  std::string CreateBody(const std::string& aName, const Json::Value& aValue) const override
  {
    Json::Value object(Json::objectValue);
    object["name"] = aName;
    object["value"] = aValue;
    return base::WriteJson(object);
  }
  std::string RemoveTarget(ObjectKind aKind,
                           const std::string& aName,
                           policy::StoreRevision aRevision) const override
  {
    return fmt::format("/object/{}/{}/{}", static_cast<int>(aKind), aRevision.Number(), aName);
  }
  std::string_view EraHeader() const override { return "Era"; }
  base::Result<StoredObject> ParseObject(std::string_view aBody) const override
  {
    const auto batch = ParseList(aBody);
    if (!batch || batch->m_objects.empty()) {
      return base::Error{ make_error_code(GatewayErrc::InvalidStoreResponse), "no object" };
    }
    return batch->m_objects.front();
  }
  base::Result<ObjectBatch> ParseList(std::string_view aBody) const override
  {
    auto snapshot = StoreSnapshot::FromJson(aBody);
    if (!snapshot) {
      return snapshot.GetError();
    }
    const bool hasMore = aBody.find(R"("more":true)") != std::string_view::npos;
    return ObjectBatch{ snapshot->Objects(), 0, hasMore, snapshot->Revision() };
  }
  base::Result<ObjectBatch> ParseWatch(std::string_view aBody) const override
  {
    if (aBody == "unexpected") {
      throw std::out_of_range("watch");
    }
    return ParseList(aBody);
  }
  base::Result<policy::Upstream> DecodeUpstream(const StoredObject&) const override
  {
    return policy::Upstream{};
  }
  base::Result<policy::Configuration> DecodeConfiguration(const StoredObject&) const override
  {
    return policy::Configuration{};
  }
};

/// @return a response with a length.
inline Script Text(const char* aStatus,
                   const std::string& aBody,
                   std::chrono::milliseconds aPause = std::chrono::milliseconds{ 0 })
{
  return { fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", aStatus, aBody.size(), aBody),
           false,
           false,
           aPause };
}

/// @return a loopback address whose port is free.
std::string FreeAddress();

} // namespace jaylane::gateway
