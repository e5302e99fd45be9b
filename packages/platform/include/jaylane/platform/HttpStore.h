#pragma once

#include "jaylane/platform/Store.h"

#include <memory>
#include <string>
#include <vector>

namespace jaylane::platform {

/// Store over the platform's HTTP API. Thread safe.
///
/// A call that cannot connect to one endpoint is sent to the next. Each write uses a new
/// connection, because libcurl resends a request on its own when a reused connection turns out to
/// be closed.
class HttpStore final : public Store
{
public:
  /// @param aEndpoints base URLs, such as "http://127.0.0.1:8080"; at least one.
  explicit HttpStore(std::vector<std::string> aEndpoints);
  ~HttpStore() override;

  base::Result<StoreObject> Get(const std::string& aKey,
                                std::chrono::milliseconds aTimeout) override;
  base::Result<Version> Put(const std::string& aKey,
                            const std::string& aValue,
                            Version aExpected,
                            std::chrono::milliseconds aTimeout) override;
  base::Status Delete(const std::string& aKey,
                      Version aExpected,
                      std::chrono::milliseconds aTimeout) override;
  base::Result<ObjectListing> List(const std::string& aPrefix,
                                   std::chrono::milliseconds aTimeout) override;
  base::Result<ChangeBatch> Watch(const std::string& aPrefix,
                                  Version aAfter,
                                  std::chrono::milliseconds aWait,
                                  std::chrono::milliseconds aTimeout) override;
  base::Result<VmList> ListVms(std::chrono::milliseconds aTimeout) override;

private:
  class Client;
  std::unique_ptr<Client> m_client;
};

} // namespace jaylane::platform
