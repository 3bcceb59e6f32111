#include "FakeFileSystem.h"

namespace anvil::store {

namespace {

class FakeAppendFile : public AppendFile {
public:
  FakeAppendFile(FakeFileSystem &Owner,
                 std::shared_ptr<FakeFileSystem::FileData> Data)
      : m_Owner(Owner), m_Data(std::move(Data)) {}

  absl::Status append(std::string_view Bytes) override {
    absl::Status Status = m_Owner.countChange();
    m_Data->m_Content.append(
        Bytes.substr(0, Status.ok() ? Bytes.size() : Bytes.size() / 2));
    return Status;
  }

  absl::Status sync() override {
    absl::Status Status = m_Owner.countChange();
    if (Status.ok())
      m_Data->m_SyncedBytes = m_Data->m_Content.size();
    return Status;
  }

private:
  FakeFileSystem &m_Owner;
  std::shared_ptr<FakeFileSystem::FileData> m_Data;
};

class FakeLock : public DirectoryLock {
public:
  explicit FakeLock(std::shared_ptr<bool> Locked)
      : m_Locked(std::move(Locked)) {
    *m_Locked = true;
  }
  ~FakeLock() override { *m_Locked = false; }

private:
  std::shared_ptr<bool> m_Locked;
};

} // namespace

absl::Status FakeFileSystem::countChange() {
  return ++m_ChangeCount == m_FailingChange ? m_Failure : absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<AppendFile>>
FakeFileSystem::openAppend(const std::string &Name) {
  if (absl::Status Status = countChange(); !Status.ok())
    return Status;
  auto &Data = m_Files[Name];
  if (!Data)
    Data = std::make_shared<FileData>();
  return std::make_unique<FakeAppendFile>(*this, Data);
}

absl::StatusOr<std::string> FakeFileSystem::read(const std::string &Name) {
  const auto It = m_Files.find(Name);
  if (It == m_Files.end())
    return absl::NotFoundError(Name);
  return It->second->m_Content;
}

absl::Status FakeFileSystem::truncate(const std::string &Name, uint64_t Size) {
  if (absl::Status Status = countChange(); !Status.ok())
    return Status;
  FileData &Data = *m_Files.at(Name);
  Data.m_Content.resize(Size);
  Data.m_SyncedBytes = Size;
  return absl::OkStatus();
}

absl::Status FakeFileSystem::rename(const std::string &OldName,
                                    const std::string &NewName) {
  if (absl::Status Status = countChange(); !Status.ok())
    return Status;
  m_Files[NewName] = m_Files.at(OldName);
  m_Files.erase(OldName);
  return absl::OkStatus();
}

absl::Status FakeFileSystem::remove(const std::string &Name) {
  if (absl::Status Status = countChange(); !Status.ok())
    return Status;
  return m_Files.erase(Name) == 1 ? absl::OkStatus()
                                  : absl::NotFoundError(Name);
}

absl::StatusOr<std::vector<std::string>> FakeFileSystem::list() {
  std::vector<std::string> Names;
  for (const auto &[Name, Data] : m_Files)
    Names.push_back(Name);
  return Names;
}

absl::Status FakeFileSystem::syncDirectory() {
  if (absl::Status Status = countChange(); !Status.ok())
    return Status;
  m_DurableNames = m_Files;
  return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<DirectoryLock>> FakeFileSystem::lock() {
  if (*m_Locked)
    return absl::FailedPreconditionError(
        "data folder is in use by another process");
  return std::make_unique<FakeLock>(m_Locked);
}

void FakeFileSystem::crash(const std::function<size_t(size_t)> &KeptBytes) {
  m_Files = m_DurableNames;
  for (auto &[Name, Data] : m_Files) {
    const size_t Unsynced =
        Data->m_Content.size() -
        std::min(Data->m_SyncedBytes, Data->m_Content.size());
    Data->m_Content.resize(Data->m_Content.size() - Unsynced +
                           KeptBytes(Unsynced));
    Data->m_SyncedBytes = Data->m_Content.size();
  }
  m_DurableNames = m_Files;
  m_FailingChange = -1;
}

} // namespace anvil::store
