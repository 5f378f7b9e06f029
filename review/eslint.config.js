export default [{ ignores: ['**/*'] }]
