#include "anvil/ctl/Cli.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "Commands.h"

namespace anvil::ctl {

using internal::commands;
using internal::CommandSpec;
using internal::Invocation;

namespace {

std::string usageText(const CommandSpec &Spec) {
  std::string Text = absl::StrJoin(Spec.m_Words, " ");
  for (const std::string &Argument : Spec.m_Arguments)
    absl::StrAppend(&Text, " ", Argument);
  for (const std::string &Flag : Spec.m_Flags)
    absl::StrAppend(&Text, " [--", Flag, " VALUE]");
  return Text;
}

const CommandSpec *findCommand(const std::vector<std::string> &Words) {
  for (const CommandSpec &Spec : commands())
    if (Words.size() >= Spec.m_Words.size() &&
        std::equal(Spec.m_Words.begin(), Spec.m_Words.end(), Words.begin()))
      return &Spec;
  return nullptr;
}

// Splits the words after the command into arguments and flags. Returns an error
// message, or an empty string on success.
std::string parseWords(const CommandSpec &Spec,
                       const std::vector<std::string> &Words,
                       Invocation &Call) {
  for (size_t I = Spec.m_Words.size(); I < Words.size(); ++I) {
    if (!Words[I].starts_with("--")) {
      Call.m_Args.push_back(Words[I]);
      continue;
    }
    const size_t Equals = Words[I].find('=');
    const std::string Name =
        Words[I].substr(2, Equals == std::string::npos ? Equals : Equals - 2);
    if (std::find(Spec.m_Flags.begin(), Spec.m_Flags.end(), Name) ==
        Spec.m_Flags.end())
      return absl::StrCat("unknown flag --", Name);
    if (Equals == std::string::npos && I + 1 == Words.size())
      return absl::StrCat("--", Name, " needs a value");
    Call.m_Flags[Name] =
        Equals == std::string::npos ? Words[++I] : Words[I].substr(Equals + 1);
  }
  if (Call.m_Args.size() != Spec.m_Arguments.size())
    return absl::StrCat("expected ", Spec.m_Arguments.size(),
                        " arguments, got ", Call.m_Args.size());
  return "";
}

} // namespace

ExitCode runCommand(const std::vector<std::string> &Words,
                    const CliOptions &Options,
                    const CliEnvironment &Environment) {
  const CommandSpec *Spec = findCommand(Words);
  if (!Spec) {
    *Environment.m_Err << (Words.empty() ? std::string()
                                         : "anvilctl: unknown command\n")
                       << cliHelp();
    return ExitCode::Usage;
  }
  Invocation Call{Options, Environment, {}, {}};
  const std::string Problem = parseWords(*Spec, Words, Call);
  if (!Problem.empty()) {
    *Environment.m_Err << "anvilctl: " << Problem << "\nusage: anvilctl "
                       << usageText(*Spec) << "\nexample: " << Spec->m_Example
                       << "\n";
    return ExitCode::Usage;
  }
  return Spec->m_Run(Call);
}

std::string cliHelp() {
  std::string Text =
      "Operates an anvilwheel environment through its entries.\n\n"
      "usage: anvilctl [--entry IP:PORT,...] [--operator NAME] [--output "
      "table|json] [--yes] COMMAND\n"
      "Settings also come from ANVIL_ENTRY, ANVIL_OPERATOR and ANVIL_OUTPUT; "
      "flags take precedence.\n\ncommands:\n";
  for (const CommandSpec &Spec : commands())
    absl::StrAppend(&Text, "  ", usageText(Spec), "\n      ", Spec.m_Help,
                    " Example: ", Spec.m_Example, "\n");
  Text += "\nexit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry "
          "answered, 4 outcome unknown, 5 job failed\n";
  return Text;
}

std::string bashCompletion() {
  std::set<std::string> FirstWords;
  std::map<std::string, std::set<std::string>> SecondWords;
  for (const CommandSpec &Spec : commands()) {
    FirstWords.insert(Spec.m_Words[0]);
    if (Spec.m_Words.size() > 1)
      SecondWords[Spec.m_Words[0]].insert(Spec.m_Words[1]);
  }
  std::string Text = "_anvilctl() {\n  local words=\"" +
                     absl::StrJoin(FirstWords, " ") + "\"\n  case \"$3\" in\n";
  for (const auto &[Word, Following] : SecondWords)
    absl::StrAppend(&Text, "    ", Word, ") words=\"",
                    absl::StrJoin(Following, " "), "\" ;;\n");
  Text += "  esac\n  COMPREPLY=($(compgen -W \"$words\" -- "
          "\"$2\"))\n}\ncomplete -F _anvilctl anvilctl\n";
  return Text;
}

} // namespace anvil::ctl
