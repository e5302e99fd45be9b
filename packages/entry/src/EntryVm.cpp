#include "jaylane/entry/EntryVm.h"

#include "EntryVmImpl.h"

#include <utility>

namespace jaylane::entry {

base::Result<std::unique_ptr<EntryVm>> EntryVm::Make(const settings::VmSettings& aSettings,
                                                     const base::Clock& aClock)
{
  auto impl = std::make_unique<Impl>(aSettings, aClock);
  const auto started = impl->Start();
  if (!started) {
    return started.GetError();
  }
  return std::unique_ptr<EntryVm>(new EntryVm(std::move(impl)));
}

EntryVm::EntryVm(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

EntryVm::~EntryVm() = default;

EntryAddresses EntryVm::Addresses() const
{
  return m_impl->Addresses();
}

const std::string& EntryVm::IncarnationText() const
{
  return m_impl->IncarnationText();
}

void EntryVm::Stop()
{
  m_impl->Stop();
}

} // namespace jaylane::entry
