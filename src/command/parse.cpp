#include <boost/spirit/home/x3.hpp>

#include <cmath>

#include "command/command.h"

// X3 uses get_info to name the expected parser in errors; it doesn't provide one for actions and
// sequences.
namespace boost::spirit::x3 {

template<class Subject, class Action>
struct get_info<action<Subject, Action>>
{
  using result_type = std::string;
  std::string operator()(const action<Subject, Action>& aParser) const
  {
    return what(aParser.subject);
  }
};

template<class Left, class Right>
struct get_info<sequence<Left, Right>>
{
  using result_type = std::string;
  std::string operator()(const sequence<Left, Right>& aParser) const { return what(aParser.left); }
};

}  // namespace boost::spirit::x3

namespace monsoon {

namespace x3 = boost::spirit::x3;

namespace {

// Values. Syntax errors report the name of a rule as what was expected.

template<class Attribute, class Tag>
auto NamedRule(const char* aName, const Tag& aParser)
{
  return x3::rule<struct NamedRuleTag, Attribute>(aName) %= aParser;
}

auto Keyword(const char* aText)
{
  return x3::rule<struct KeywordTag>(aText) =
           x3::lexeme[x3::no_case[x3::lit(aText)] >> !(x3::alnum | '_')];
}

const auto kQuoted = NamedRule<std::string>(
  "text in quotes",
  x3::lexeme['"' >> *(('\\' >> x3::char_) | (x3::char_ - '"' - '\\')) >> '"']);
const auto kIdentifier =
  NamedRule<std::string>("a name", x3::lexeme[x3::char_("a-zA-Z_") >> *x3::char_("a-zA-Z0-9_.-")]);
const auto kPositiveNumber =
  NamedRule<std::uint32_t>("a whole number from 1", x3::uint32 - x3::lit("0"));
const auto kWholeNumber = NamedRule<std::uint64_t>("a whole number", x3::uint64);
const auto kUint32 = NamedRule<std::uint32_t>("a whole number", x3::uint32);

constexpr double kMaxCores = 1e6;
constexpr std::int64_t kMaxUnits = 1'000'000'000;

struct SymbolTables
{
  x3::symbols<JobKind> mKinds{};
  x3::symbols<Priority> mPriorities{};
  x3::symbols<std::int64_t> mTimes{};  // ns
  x3::symbols<std::int64_t> mSizes{};  // MiB
  x3::symbols<ShowTarget> mTargets{};
  x3::symbols<Comparison> mComparisons{};

  SymbolTables()
  {
    for (const JobKind it : { JobKind::Service, JobKind::Batch, JobKind::Gang, JobKind::Watch })
      mKinds.add(GetName(it), it);
    for (const Priority it : { Priority::Urgent, Priority::Normal, Priority::Low })
      mPriorities.add(GetName(it), it);
    mTimes.add("ms", 1'000'000)("s", 1'000'000'000)("m", 60'000'000'000)("h", 3'600'000'000'000);
    mSizes.add("MiB", 1)("GiB", 1024)("TiB", 1024 * 1024);
    for (int i = 0; i <= static_cast<int>(ShowTarget::Config); ++i)
      mTargets.add(GetName(static_cast<ShowTarget>(i)), static_cast<ShowTarget>(i));
    mComparisons.add("=", Comparison::Equal)("!=", Comparison::NotEqual)("<", Comparison::Less)(
      "<=", Comparison::LessOrEqual)(">", Comparison::Greater)(">=", Comparison::GreaterOrEqual);
  }
};

const SymbolTables& GetSymbols()
{
  static const SymbolTables kTables;
  return kTables;
}

// Multiplies a number by its unit. The match fails when the result is out of range.
constexpr auto kApplyUnit = [](auto& aContext) {
  const auto& parts = x3::_attr(aContext);
  const std::uint64_t n = boost::fusion::at_c<0>(parts);
  std::int64_t value = 0;
  x3::_pass(aContext) =
    n <= kMaxUnits &&
    !__builtin_mul_overflow(static_cast<std::int64_t>(n), boost::fusion::at_c<1>(parts), &value);
  x3::_val(aContext) = value;
};

constexpr auto kToMilliCores = [](auto& aContext) {
  const double cores = x3::_attr(aContext);
  const bool good = std::isfinite(cores) && cores >= 0 && cores <= kMaxCores;
  x3::_pass(aContext) = good;
  x3::_val(aContext) = good ? std::llround(cores * 1000) : 0;
};

auto MakeTime()
{
  return x3::rule<struct TimeTag, std::int64_t>("a time such as 500ms, 10s, 5m or 2h") =
           x3::lexeme[x3::uint64 >> GetSymbols().mTimes >> !x3::alnum][kApplyUnit];
}

auto MakeSize()
{
  return x3::rule<struct SizeTag, std::int64_t>("a size such as 512MiB or 4GiB") =
           x3::lexeme[x3::uint64 >> GetSymbols().mSizes >> !x3::alnum][kApplyUnit];
}

auto MakeCores()
{
  return x3::rule<struct CoresTag, std::int64_t>("a number of cores such as 2 or 0.5") =
           x3::real_parser<double, x3::ureal_policies<double>>()[kToMilliCores];
}

template<class T>
auto Assign(T& aTarget)
{
  return [&aTarget](auto& aContext) { aTarget = x3::_attr(aContext); };
}

template<class T>
auto AssignValue(T& aTarget, T aValue)
{
  return [&aTarget, aValue](auto&) { aTarget = aValue; };
}

auto AssignDuration(Duration& aTarget)
{
  return [&aTarget](auto& aContext) { aTarget = Duration(x3::_attr(aContext)); };
}

// Clauses

auto MakeResourceClause(Resources& aOut, std::string& aType)
{
  return (Keyword("cores") > MakeCores()[Assign(aOut.mMilliCores)]) |
         (Keyword("memory") > MakeSize()[Assign(aOut.mMemoryMiB)]) |
         (Keyword("accelerators") > kUint32[Assign(aOut.mAccelerators)] >
          -(Keyword("of") > kQuoted[Assign(aType)])) |
         (Keyword("slots") > kUint32[Assign(aOut.mSlots)]) |
         (Keyword("connections") > kUint32[Assign(aOut.mConnections)]);
}

auto MakePriority()
{
  return NamedRule<Priority>("urgent, normal or low", x3::lexeme[GetSymbols().mPriorities]);
}

auto MakeJobClause(JobSpec& aOut)
{
  const auto spread =
    NamedRule<x3::unused_type>("zones or racks", &(Keyword("zones") | Keyword("racks"))) >
    (Keyword("zones")[AssignValue(aOut.mSpreadZones, true)] |
     Keyword("racks")[AssignValue(aOut.mSpreadRacks, true)]);
  return ((Keyword("tasks") | Keyword("replicas")) > kPositiveNumber[Assign(aOut.mTasks)]) |
         (Keyword("team") > kQuoted[Assign(aOut.mTeam)]) |
         (Keyword("priority") > MakePriority()[Assign(aOut.mPriority)]) |
         (Keyword("run") > MakeTime()[AssignDuration(aOut.mExpectedRun)]) |
         (Keyword("attempts") > kPositiveNumber[Assign(aOut.mMaxAttempts)]) |
         (Keyword("spread") > spread) | Keyword("once")[AssignValue(aOut.mRepeatable, false)] |
         (Keyword("payload") > kQuoted[Assign(aOut.mPayload)]) |
         MakeResourceClause(aOut.mShape, aOut.mAcceleratorType);
}

auto MakeChangeClause(JobChange& aOut)
{
  return ((Keyword("tasks") | Keyword("replicas")) > kPositiveNumber[Assign(aOut.mTasks)]) |
         (Keyword("priority") > MakePriority()[Assign(aOut.mPriority)]) |
         (Keyword("attempts") > kPositiveNumber[Assign(aOut.mMaxAttempts)]) |
         (Keyword("run") > MakeTime()[([&aOut](auto& aContext) {
            aOut.mExpectedRun = Duration(x3::_attr(aContext));
          })]);
}

auto MakeCondition(Condition& aCurrent, std::vector<Condition>& aOut)
{
  const auto number = [&aCurrent](auto& aContext) { aCurrent.mValue = x3::_attr(aContext); };
  const auto value = NamedRule<x3::unused_type>("a number, a word or text in quotes",
                                                x3::omit[&(x3::int64 | x3::char_("\"a-zA-Z_"))]) >
                     (x3::int64[number] | kQuoted[number] | kIdentifier[number]);
  return kIdentifier[Assign(aCurrent.mColumn)] >
         NamedRule<Comparison>("=, !=, <, <=, > or >=",
                               GetSymbols().mComparisons)[Assign(aCurrent.mComparison)] > value >
         x3::eps[([&](auto&) { aOut.push_back(aCurrent); })];
}

// The values that the grammar's actions fill in.
struct ParseState
{
  JobSpec mSpec{};
  JobChange mChange{};
  JobId mId{};
  Show mShow{};
  Condition mCondition{};
  OrderBy mOrder{};
  DrainWorker mDrain{};
  TeamQuota mQuota{};
  std::string mIgnoredType{};
  SetSetting mSetting{};
  Command mCommand{};
};

template<class T>
auto SetBody(Command& aCommand, T& aBody)
{
  return x3::eps[([&](auto&) { aCommand.mBody = aBody; })];
}

// Parses the kind and id of a job, as in `batch "x"`, or `job "x"` for a job of any kind.
auto MakeJobId(JobId& aOut)
{
  const auto kind =
    NamedRule<x3::unused_type>("service, batch, gang, watch or job",
                               x3::omit[x3::lexeme[GetSymbols().mKinds] | Keyword("job")]);
  return kind > kQuoted[Assign(aOut)];
}

auto MakeKindAndSpec(JobSpec& aOut)
{
  return NamedRule<JobKind>("service, batch, gang or watch",
                            x3::lexeme[GetSymbols().mKinds])[Assign(aOut.mKind)] >
         kQuoted[Assign(aOut.mId)] > *MakeJobClause(aOut);
}

auto MakeJobCommands(ParseState& aState)
{
  Command& command = aState.mCommand;
  const auto created = [&](auto&) { command.mBody = CreateJob{ aState.mSpec }; };
  const auto declared = [&](auto&) { command.mBody = DeclareJob{ aState.mSpec }; };
  const auto changed = [&](auto&) { command.mBody = ChangeJob{ aState.mId, aState.mChange }; };
  const auto cancelled = [&](auto&) { command.mBody = CancelJob{ aState.mId }; };
  const auto withdrawn = [&](auto&) { command.mBody = WithdrawJob{ aState.mId }; };
  const auto explained = [&](auto&) { command.mBody = ExplainJob{ aState.mId }; };
  return (Keyword("create") > MakeKindAndSpec(aState.mSpec) > x3::eps[created]) |
         (Keyword("declare") > MakeKindAndSpec(aState.mSpec) > x3::eps[declared]) |
         (Keyword("change") > MakeJobId(aState.mId) >
          NamedRule<x3::unused_type>("tasks, replicas, priority, attempts or run",
                                     +MakeChangeClause(aState.mChange)) > x3::eps[changed]) |
         (Keyword("cancel") > MakeJobId(aState.mId) > x3::eps[cancelled]) |
         (Keyword("withdraw") > MakeJobId(aState.mId) > x3::eps[withdrawn]) |
         (Keyword("explain") > MakeJobId(aState.mId) > x3::eps[explained]);
}

auto MakeShow(ParseState& aState)
{
  Show& show = aState.mShow;
  const auto condition = MakeCondition(aState.mCondition, show.mWhere);
  const auto ordered = [&](auto&) { show.mOrder = aState.mOrder; };
  const auto direction =
    -(Keyword("desc")[AssignValue(aState.mOrder.mDescending, true)] | Keyword("asc"));
  return Keyword("show") >
         NamedRule<ShowTarget>("workers, jobs, tasks, processes, teams or config",
                               x3::lexeme[GetSymbols().mTargets])[Assign(show.mTarget)] >
         -(Keyword("where") > condition % Keyword("and")) >
         -(Keyword("order") > Keyword("by") > kIdentifier[Assign(aState.mOrder.mColumn)] >
           direction > x3::eps[ordered]) > -(Keyword("limit") > kUint32[Assign(show.mLimit)]) >
         SetBody(aState.mCommand, show);
}

auto MakeCellCommands(ParseState& aState)
{
  Command& command = aState.mCommand;
  TeamQuota& quota = aState.mQuota;
  const auto resource = MakeResourceClause(quota.mGuaranteed, aState.mIgnoredType);
  const auto borrowing = Keyword("no")[AssignValue(quota.mMayBorrow, false)] > Keyword("borrowing");
  const auto team =
    Keyword("team") > kQuoted[Assign(quota.mTeam)] > Keyword("quota") >
    NamedRule<x3::unused_type>("cores, memory, accelerators, slots or connections", +resource) >
    -borrowing > x3::eps[([&](auto&) { command.mBody = SetTeam{ quota }; })];
  const auto value = kQuoted | kIdentifier |
                     NamedRule<std::string>("a value", x3::lexeme[+x3::char_("a-zA-Z0-9_.%-")]);
  const auto setting = kIdentifier[Assign(aState.mSetting.mName)] > '=' >
                       NamedRule<std::string>("a value", value)[Assign(aState.mSetting.mValue)] >
                       SetBody(command, aState.mSetting);
  const auto worker = Keyword("worker") > kQuoted[Assign(aState.mDrain.mWorker)];
  return (Keyword("set") > (team | setting)) |
         (Keyword("drain") > worker > SetBody(command, aState.mDrain)) |
         (Keyword("undrain") > worker > x3::eps[AssignValue(aState.mDrain.mDrained, false)] >
          SetBody(command, aState.mDrain));
}

SyntaxError MakeError(std::string_view aText, std::size_t aOffset, std::string aExpected)
{
  while (aOffset < aText.size() && std::isspace(static_cast<unsigned char>(aText[aOffset])))
    ++aOffset;
  const std::size_t end = std::min(aText.find_first_of(" \t\r\n", aOffset), aText.size());
  return { static_cast<std::uint32_t>(aOffset + 1),
           std::move(aExpected),
           std::string(aText.substr(aOffset, end - aOffset)) };
}

}  // namespace

std::variant<Command, SyntaxError> ParseCommandOrError(std::string_view aText)
{
  ParseState state;
  const auto revision = [&](auto& aContext) { state.mCommand.mIfRevision = x3::_attr(aContext); };
  const auto body = MakeJobCommands(state) | MakeShow(state) | MakeCellCommands(state);
  const auto grammar = body >> -(Keyword("if") > Keyword("revision") > kWholeNumber[revision]);
  auto at = aText.begin();
  try {
    const bool matched = x3::phrase_parse(at, aText.end(), grammar, x3::space);
    const auto offset = static_cast<std::size_t>(at - aText.begin());
    if (!matched)
      return MakeError(aText,
                       0,
                       "create, change, cancel, declare, withdraw, explain, show, set, drain or "
                       "undrain");
    if (at != aText.end())
      return MakeError(aText, offset, "a further clause, `if revision N` or the end");
  } catch (const x3::expectation_failure<std::string_view::iterator>& failure) {
    return MakeError(
      aText, static_cast<std::size_t>(failure.where() - aText.begin()), failure.which());
  }
  return std::move(state.mCommand);
}

Result<Command> ParseCommand(std::string_view aText)
{
  auto parsed = ParseCommandOrError(aText);
  if (auto* command = std::get_if<Command>(&parsed))
    return std::move(*command);
  const SyntaxError& error = std::get<SyntaxError>(parsed);
  return MakeFailure(FailureKind::BadInput,
                     "column " + std::to_string(error.mColumn) + ": expected " + error.mExpected +
                       ", found " + (error.mFound.empty() ? "the end" : "`" + error.mFound + "`"));
}

}  // namespace monsoon
