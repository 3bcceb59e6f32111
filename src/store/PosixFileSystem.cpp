#include <algorithm>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

#include "anvil/store/FileSystem.h"

namespace anvil::store {

namespace {

constexpr mode_t FileMode = 0640;
constexpr mode_t FolderMode = 0750;

absl::Status systemError(std::string_view Operation, const std::string &Path) {
  const int Code = errno;
  const std::string Text = absl::StrCat(std::string(Operation), " ", Path, ": ",
                                        std::strerror(Code));
  if (Code == ENOSPC || Code == EDQUOT)
    return absl::ResourceExhaustedError(Text);
  if (Code == ENOENT)
    return absl::NotFoundError(Text);
  return absl::InternalError(Text);
}

class Descriptor {
public:
  explicit Descriptor(int Fd) : m_Fd(Fd) {}
  ~Descriptor() {
    if (m_Fd >= 0)
      ::close(m_Fd);
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  int get() const { return m_Fd; }

private:
  int m_Fd;
};

class PosixAppendFile : public AppendFile {
public:
  PosixAppendFile(int Fd, std::string Path)
      : m_Fd(Fd), m_Path(std::move(Path)) {}

  absl::Status append(std::string_view Bytes) override {
    while (!Bytes.empty()) {
      const ssize_t Count = ::write(m_Fd.get(), Bytes.data(), Bytes.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return systemError("write", m_Path);
      Bytes.remove_prefix(static_cast<size_t>(Count));
    }
    return absl::OkStatus();
  }

  absl::Status sync() override {
    if (::fdatasync(m_Fd.get()) != 0)
      return systemError("fdatasync", m_Path);
    return absl::OkStatus();
  }

private:
  Descriptor m_Fd;
  std::string m_Path;
};

class PosixLock : public DirectoryLock {
public:
  explicit PosixLock(int Fd) : m_Fd(Fd) {}

private:
  Descriptor m_Fd;
};

class PosixFileSystem : public FileSystem {
public:
  explicit PosixFileSystem(std::string Folder) : m_Folder(std::move(Folder)) {}

  absl::StatusOr<std::unique_ptr<AppendFile>>
  openAppend(const std::string &Name) override {
    const int Fd = ::open(path(Name).c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (Fd < 0)
      return systemError("open", path(Name));
    return std::make_unique<PosixAppendFile>(Fd, path(Name));
  }

  absl::StatusOr<std::string> read(const std::string &Name) override {
    const Descriptor File(::open(path(Name).c_str(), O_RDONLY | O_CLOEXEC));
    if (File.get() < 0)
      return systemError("open", path(Name));
    struct stat Info {};
    if (::fstat(File.get(), &Info) != 0)
      return systemError("stat", path(Name));
    std::string Content(static_cast<size_t>(Info.st_size), '\0');
    size_t BytesRead = 0;
    while (BytesRead < Content.size()) {
      const ssize_t Count = ::read(File.get(), Content.data() + BytesRead,
                                   Content.size() - BytesRead);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return systemError("read", path(Name));
      if (Count == 0)
        break;
      BytesRead += static_cast<size_t>(Count);
    }
    Content.resize(BytesRead);
    return Content;
  }

  absl::Status truncate(const std::string &Name, uint64_t Size) override {
    const Descriptor File(::open(path(Name).c_str(), O_WRONLY | O_CLOEXEC));
    if (File.get() < 0)
      return systemError("open", path(Name));
    if (::ftruncate(File.get(), static_cast<off_t>(Size)) != 0)
      return systemError("truncate", path(Name));
    if (::fsync(File.get()) != 0)
      return systemError("fsync", path(Name));
    return absl::OkStatus();
  }

  absl::Status rename(const std::string &OldName,
                      const std::string &NewName) override {
    if (::rename(path(OldName).c_str(), path(NewName).c_str()) != 0)
      return systemError("rename", path(OldName));
    return absl::OkStatus();
  }

  absl::Status remove(const std::string &Name) override {
    if (::unlink(path(Name).c_str()) != 0)
      return systemError("remove", path(Name));
    return absl::OkStatus();
  }

  absl::StatusOr<std::vector<std::string>> list() override {
    DIR *Folder = ::opendir(m_Folder.c_str());
    if (!Folder)
      return systemError("list", m_Folder);
    std::vector<std::string> Names;
    while (const dirent *Entry = ::readdir(Folder)) {
      const std::string Name = Entry->d_name;
      if (Name != "." && Name != "..")
        Names.push_back(Name);
    }
    ::closedir(Folder);
    std::sort(Names.begin(), Names.end());
    return Names;
  }

  absl::Status syncDirectory() override {
    const Descriptor Folder(
        ::open(m_Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (Folder.get() < 0 || ::fsync(Folder.get()) != 0)
      return systemError("sync", m_Folder);
    return absl::OkStatus();
  }

  absl::StatusOr<std::unique_ptr<DirectoryLock>> lock() override {
    const int Fd =
        ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (Fd < 0)
      return systemError("open", path("lock"));
    auto Lock = std::make_unique<PosixLock>(Fd);
    if (::flock(Fd, LOCK_EX | LOCK_NB) != 0)
      return absl::FailedPreconditionError(absl::StrCat(
          "data folder ", m_Folder, " is in use by another process"));
    return Lock;
  }

private:
  std::string path(const std::string &Name) const {
    return m_Folder + "/" + Name;
  }

  std::string m_Folder;
};

} // namespace

absl::StatusOr<std::unique_ptr<FileSystem>>
openDataFolder(const std::string &Folder) {
  if (::mkdir(Folder.c_str(), FolderMode) != 0 && errno != EEXIST)
    return systemError("create folder", Folder);
  return std::make_unique<PosixFileSystem>(Folder);
}

} // namespace anvil::store
