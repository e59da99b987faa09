// Every viewer hears that the call was recorded, before it and again after ten minutes.
{
  version: 1,
  notices: [
    {
      name: 'recorded-call',
      version: 1,
      lasts_ms: 4000,
      rungs: [0, 1, 2, 3],
      home: 3,
      copies: 4,
      must: true,
      before: true,
      offsets_ms: [600000],
    },
  ],
}
