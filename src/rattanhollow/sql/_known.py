"""The syntax nodes and functions that are known to have no effect."""

READ_NODES = frozenset(
    """
    A_ArrayExpr A_Const A_Expr A_Indices A_Indirection A_Star Alias BitString
    BoolExpr BooleanTest Boolean CaseExpr CaseWhen CoalesceExpr CollateClause
    ColumnRef CommonTableExpr Float FuncCall GroupingFunc GroupingSet Integer
    JoinExpr List MinMaxExpr NullTest ParamRef RangeFunction RangeSubselect
    RangeVar ResTarget RowExpr SQLValueFunction SelectStmt SortBy String
    SubLink TypeCast TypeName WindowDef WithClause
    """.split()
)

READ_FUNCTIONS = frozenset(
    """
    abs age array_agg array_length array_to_string ascii avg bit_length
    bool_and bool_or btrim cardinality ceil ceiling char_length
    character_length chr clock_timestamp concat concat_ws count cume_dist
    current_database current_schema date_part date_trunc degrees dense_rank
    div every exp extract first_value floor format generate_series initcap
    json_agg json_array_length json_build_array json_build_object
    json_extract_path json_extract_path_text json_object_agg jsonb_agg
    jsonb_array_length jsonb_build_array jsonb_build_object
    jsonb_extract_path jsonb_extract_path_text jsonb_object_agg lag
    last_value lead left length ln log lower lpad ltrim make_date max md5 min
    mod now nth_value ntile octet_length overlay percent_rank
    percentile_cont percentile_disc position power radians random rank
    regexp_matches regexp_replace repeat replace reverse right round
    row_number row_to_json rpad rtrim sign split_part sqrt
    statement_timestamp stddev string_agg string_to_array strpos substr
    substring sum timezone to_char to_date to_json to_jsonb to_number
    to_timestamp transaction_timestamp translate trunc unnest upper var_pop
    var_samp variance version pg_sleep like_escape overlaps
    """.split()
)

PINNING_FUNCTIONS = frozenset(
    """
    pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock
    pg_try_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_all
    pg_advisory_unlock_shared set_config setseed lo_open
    """.split()
)

SEQUENCE_FUNCTIONS = frozenset({"currval", "lastval"})

STATELESS_FUNCTIONS = READ_FUNCTIONS | {"nextval", "setval", "gen_random_uuid"}

PLAIN_STATEMENTS = frozenset(
    """
    SelectStmt InsertStmt UpdateStmt DeleteStmt MergeStmt CreateStmt IndexStmt
    AlterTableStmt DropStmt TruncateStmt CreateTableAsStmt ViewStmt RenameStmt
    CommentStmt CreateSeqStmt AlterSeqStmt VacuumStmt LockStmt CheckPointStmt
    """.split()
)
