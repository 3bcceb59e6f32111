// anvilctl, the command line tool for operators.

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "anvil/ctl/Cli.h"
#include "anvil/ctl/HttpCaller.h"
#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"

namespace {

using anvil::ctl::CliEnvironment;
using anvil::ctl::CliOptions;

constexpr anvil::Duration CallTimeout = std::chrono::seconds(10);

std::optional<std::string> readFile(const std::string &Path) {
  std::ostringstream Content;
  if (Path == "-") {
    Content << std::cin.rdbuf();
    return Content.str();
  }
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  Content << File.rdbuf();
  return Content.str();
}

bool confirm(const std::string &Question) {
  std::cerr << Question << " [y/N] ";
  std::string Answer;
  std::getline(std::cin, Answer);
  return Answer == "y" || Answer == "yes";
}

std::string newId() {
  std::ostringstream Text;
  Text << "ctl-" << std::hex << anvil::daemon::wallClockMicros() << "-"
       << static_cast<uint32_t>(anvil::daemon::makeRandomSource()() *
                                UINT32_MAX);
  return Text.str();
}

/// The command line split into options, which may appear anywhere, and the
/// other words: the command and its arguments.
struct CommandLine {
  std::vector<std::string> m_Settings;
  std::vector<std::string> m_Words;
  bool m_Help = false;
};

CommandLine splitCommandLine(int Argc, char **Argv) {
  CommandLine Line;
  for (int I = 1; I < Argc; ++I) {
    const std::string Word = Argv[I];
    const std::string Name = Word.substr(0, Word.find('='));
    if (Word == "--help" || Word == "-h") {
      Line.m_Help = true;
    } else if (Word == "--yes" || Word == "--version") {
      Line.m_Settings.push_back(Word);
    } else if (Name == "--entry" || Name == "--operator" ||
               Name == "--output") {
      Line.m_Settings.push_back(Word);
      if (Name == Word && I + 1 < Argc)
        Line.m_Settings.emplace_back(Argv[++I]);
    } else {
      Line.m_Words.push_back(Word);
    }
  }
  return Line;
}

} // namespace

int main(int Argc, char **Argv) {
  const CommandLine Line = splitCommandLine(Argc, Argv);
  if (Line.m_Help) {
    std::cout << anvil::ctl::cliHelp();
    return 0;
  }
  std::vector<anvil::net::Endpoint> Entries;
  CliOptions Options;
  anvil::daemon::Settings Reader(
      "anvilctl", "Operates an anvilwheel environment through its entries.");
  Reader.addEndpoints("entry", "127.0.0.1:8080",
                      "Entries to call, the first that answers.", Entries);
  const char *User = std::getenv("USER");
  Reader.addName("operator", User && *User ? User : "operator",
                 "Name recorded with changes.", Options.m_Operator);
  Reader.add("output", "table", "table or json.", [&](std::string_view Text) {
    Options.m_Json = Text == "json";
    return Text == "json" || Text == "table"
               ? absl::OkStatus()
               : absl::InvalidArgumentError("must be table or json");
  });
  Reader.addSwitch("yes", "Do not ask for confirmation.", Options.m_Yes);
  const auto Mode =
      Reader.read(Line.m_Settings, anvil::daemon::environmentVariable);
  if (const std::optional<int> Code =
          anvil::daemon::finishStart(Reader, Mode, "anvilctl"))
    return *Code;

  CliEnvironment Environment;
  Environment.m_Call = [&](const std::string &Entry,
                           const anvil::ctl::ApiCall &Call) {
    if (Entry.empty())
      return anvil::ctl::callAny(Entries, Call, CallTimeout);
    const auto Named = anvil::net::parseEndpoint(Entry);
    if (Named.ok())
      return anvil::ctl::callAny({*Named}, Call, CallTimeout);
    anvil::ctl::ApiResult Failed;
    Failed.m_Error = "'" + Entry + "' is not an IP number and port";
    return Failed;
  };
  for (const anvil::net::Endpoint &Entry : Entries)
    Environment.m_Entries.push_back(Entry.str());
  Environment.m_ReadFile = readFile;
  Environment.m_NewId = newId;
  Environment.m_Sleep = [](anvil::Duration Span) {
    std::this_thread::sleep_for(Span);
  };
  Environment.m_Confirm = confirm;
  Environment.m_Out = &std::cout;
  Environment.m_Err = &std::cerr;
  return static_cast<int>(
      anvil::ctl::runCommand(Line.m_Words, Options, Environment));
}
